"""Revisions of the platform's store, also across a restore from a copy."""

from typing import Any
from typing import Final
from typing import NamedTuple


class Revision(NamedTuple):
    """Position in the history of the store; later ones compare as greater.

    Attributes:
      era: Rises when the store is restored from a copy. What it has written
        since the copy is lost, and numbers are given out again.
      number: Increases with each change of any object of an era.
    """

    era: int
    number: int


# Older than any revision of a store.
NO_REVISION: Final = Revision(0, 0)


def decode(fields: Any) -> Revision:
    """Decodes the revision of another node.

    Nodes of the previous release know no eras and send the number alone.

    Raises:
      TypeError, ValueError: The fields are malformed.
    """
    era, number = (0, fields) if isinstance(fields, int) else fields
    return Revision(int(era), int(number))
