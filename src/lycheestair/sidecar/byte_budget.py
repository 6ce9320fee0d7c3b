"""Memory for answers that are being read from the local backend server.

Answers the load of large answers at all slots at once, and of a faulty server
that sends bytes without end.
"""

from types import TracebackType
from typing import Self

from lycheestair import messages


class ByteBudget:
    """Bytes that the answers which are being read may take together."""

    def __init__(self, limit: int):
        self._available = limit

    def open_account(self) -> "Account":
        """Returns an account for one answer; used as a context manager."""
        return Account(self)

    def take(self, count: int) -> None:
        """Takes bytes.

        Raises:
          BodyTooLargeError: Fewer are available.
        """
        if count > self._available:
            raise messages.BodyTooLargeError("answers take too much memory")
        self._available -= count

    def give_back(self, count: int) -> None:
        """Makes bytes available again."""
        self._available += count


class Account:
    """Bytes taken by one answer, given back at the end."""

    def __init__(self, budget: ByteBudget):
        self._budget = budget
        self._taken = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._budget.give_back(self._taken)

    def take(self, count: int) -> None:
        """Takes bytes.

        Raises:
          BodyTooLargeError: Fewer are available.
        """
        self._budget.take(count)
        self._taken += count
