"""Backend servers whose departure a node has acknowledged.

A delayed heartbeat must not bring a departed server into use again. For sidecar
nodes, the store keeps the departures over a restart (`sidecar.departure_records`),
and other nodes remember them in case the store is unavailable.
"""

from typing import Any
from typing import Final

# The latest ones are kept; a heartbeat is delayed by seconds.
MAX_DEPARTURES: Final = 16


class Departures:
    """Latest departed incarnations, by instance.

    An incarnation is known by its start in Unix milliseconds. Servers that don't
    tell their start are left out: a restart under the same id could not be told
    from a delayed heartbeat.
    """

    def __init__(self) -> None:
        self._started_ms: dict[str, int] = {}

    def __bool__(self) -> bool:
        return bool(self._started_ms)

    def add(self, instance: str, started_ms: int) -> bool:
        """Adds a departed incarnation; returns whether it was unknown."""
        if started_ms <= self._started_ms.get(instance, 0):
            return False
        self._started_ms.pop(instance, None)
        self._started_ms[instance] = started_ms
        if len(self._started_ms) > MAX_DEPARTURES:
            del self._started_ms[next(iter(self._started_ms))]
        return True

    def update(self, fields: Any) -> bool:
        """Adds encoded departures; returns whether one was unknown.

        Raises:
          ValueError: The fields are malformed; nothing has changed.
        """
        if not isinstance(fields, list) or not all(
            isinstance(field, list)
            and len(field) == 2
            and isinstance(field[0], str)
            and isinstance(field[1], int)
            for field in fields
        ):
            raise ValueError("departures are malformed")
        added = [self.add(*field) for field in fields]
        return any(added)

    def contains(self, instance: str, started_ms: int) -> bool:
        """Returns whether an incarnation, or a later one, has departed."""
        return 0 < started_ms <= self._started_ms.get(instance, 0)

    def encode(self) -> list[list[Any]]:
        """Returns the departures as plain values."""
        return [list(item) for item in self._started_ms.items()]
