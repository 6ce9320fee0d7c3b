"""Pool of connections to the local backend server."""

import collections
import math
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import http1
from lycheestair.sidecar import streams

# The backend server is on the same machine, so connecting succeeds immediately
# or not at all.
CONNECT_TIMEOUT_S: Final = 0.3
# An idle connection is reused for this fraction of the keep-alive timeout that
# the backend server sent, or for DEFAULT_MAX_IDLE_S if it sent none.
KEEP_ALIVE_RATIO: Final = 0.7
DEFAULT_MAX_IDLE_S: Final = 0.3
# A non-idempotent request is lost if the backend server has closed the
# connection unnoticed, so it only reuses a connection that was used recently.
NON_IDEMPOTENT_MAX_IDLE_S: Final = 0.5


class Connection:
    """A connection to the backend server.

    Attributes:
      idle_since: Time in seconds at which it was returned to the pool.
      max_idle_s: Time in seconds for which it may be reused after a response.
      was_used: Whether it has carried an earlier request.
    """

    def __init__(self, stream: streams.Stream):
        self.stream = stream
        self.was_used = False
        self.idle_since = 0.0
        self.max_idle_s = DEFAULT_MAX_IDLE_S

    def update_max_idle(self, answer: http1.Response) -> None:
        """Updates the idle limit from the keep-alive header of a response."""
        self.max_idle_s = _read_max_idle_s(answer)


class ConnectionPool:
    """Idle connections, reused in LIFO order."""

    def __init__(self, address: ids.Address):
        self._address = address
        self._idle: collections.deque[Connection] = collections.deque()

    def close_idle(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            self._idle.pop().stream.close()

    async def check_out(self, idempotent: bool) -> Connection:
        """Returns an idle connection for a request, or opens a new one.

        Raises:
          OSError: The connection could not be opened.
        """
        now = clock.read_s()
        max_idle_s = math.inf if idempotent else NON_IDEMPOTENT_MAX_IDLE_S
        while self._idle:
            connection = self._idle.pop()
            stream = connection.stream
            if (
                now - connection.idle_since
                < min(connection.max_idle_s, max_idle_s)
                and not stream.closed
                and not stream.buffered
            ):
                return connection
            stream.close()
        return Connection(
            await streams.connect(self._address, CONNECT_TIMEOUT_S)
        )

    def check_in(self, connection: Connection) -> None:
        """Returns a connection to the pool after a complete response."""
        connection.idle_since = clock.read_s()
        connection.was_used = True
        self._idle.append(connection)


def _read_max_idle_s(answer: http1.Response) -> float:
    header = answer.find_header(b"keep-alive")
    if header is None:
        return DEFAULT_MAX_IDLE_S
    for parameter in header.split(b","):
        name, _, value = parameter.strip().partition(b"=")
        if name == b"timeout" and value.isdigit():
            return int(value) * KEEP_ALIVE_RATIO
    return DEFAULT_MAX_IDLE_S
