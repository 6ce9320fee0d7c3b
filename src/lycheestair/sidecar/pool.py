"""Kept connections to the own backend server."""

import collections
import math
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import http1
from lycheestair.sidecar import streams

# The backend server is on the same machine: a connection is made at once or
# not at all.
CONNECT_TIMEOUT_S: Final = 0.3
# An idle connection is used for this part of the time that the backend server
# states, and for DEFAULT_IDLE_S if it states none.
IDLE_SHARE: Final = 0.7
DEFAULT_IDLE_S: Final = 0.3
# A request that must not run twice is lost if the backend server has dropped
# the connection unnoticed, so that it only takes one that was used just now.
MAX_IDLE_ONCE_S: Final = 0.5


class Connection:
    """A connection to the backend server.

    Attributes:
      max_idle_s: Time in seconds for which it may be used after an answer.
    """

    def __init__(self, stream: streams.Stream):
        self.stream = stream
        self.idle_since = 0.0
        self.max_idle_s = DEFAULT_IDLE_S

    def note_answer(self, answer: http1.Answer) -> None:
        """Takes over how long the backend server keeps the connection."""
        self.max_idle_s = _read_max_idle_s(answer)


class ConnectionPool:
    """Idle connections, the latest used first."""

    def __init__(self, address: ids.Address):
        self._address = address
        self._idle: collections.deque[Connection] = collections.deque()

    def close_idle(self) -> None:
        """Closes all connections that are not in use."""
        while self._idle:
            self._idle.pop().stream.close()

    async def check_out(self, idempotent: bool) -> Connection:
        """Returns a connection for a request, opened if none can be used.

        Raises:
          OSError: It could not be opened.
        """
        now = clock.read_s()
        limit_s = math.inf if idempotent else MAX_IDLE_ONCE_S
        while self._idle:
            connection = self._idle.pop()
            stream = connection.stream
            if (
                now - connection.idle_since
                < min(connection.max_idle_s, limit_s)
                and not stream.ended
                and not stream.buffered
            ):
                return connection
            stream.close()
        return Connection(
            await streams.connect(self._address, CONNECT_TIMEOUT_S)
        )

    def check_in(self, connection: Connection) -> None:
        """Keeps a connection after a whole answer."""
        connection.idle_since = clock.read_s()
        self._idle.append(connection)


def _read_max_idle_s(answer: http1.Answer) -> float:
    header = answer.find(b"keep-alive")
    if header is None:
        return DEFAULT_IDLE_S
    for part in header.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name == b"timeout" and value.isdigit():
            return int(value) * IDLE_SHARE
    return DEFAULT_IDLE_S
