"""Requests to peers and backend servers over kept urllib3 connections."""

import collections
from collections.abc import Callable
import threading
import time
from typing import Final

from urllib3 import connection
from urllib3 import exceptions

from lycheestair import calls
from lycheestair import errors
from lycheestair import ids
from lycheestair import messages
from lycheestair import tls

# Shorter than the idle timeout of the listeners, so that a connection is not
# used while the peer closes it.
MAX_IDLE_S: Final = 10.0
MAX_IDLE_CONNECTIONS: Final = 64
CONNECT_TIMEOUT_S: Final = 1.0
MAX_ANSWER_BYTES: Final = 8_388_608
MAX_ANSWER_HEAD_BYTES: Final = 32_768
MAX_INTERIM_ANSWERS: Final = 8


class _Connection(connection.HTTPConnection):
    """Kept connection with one buffered reader."""

    def __init__(self, address: ids.Address, files: tls.KeyFiles | None = None):
        host, _, port = address.rpartition(":")
        super().__init__(host.strip("[]"), int(port))
        self.idle_since = 0.0
        self._files = files
        self._material = files.read() if files else None

    @property
    def current(self) -> bool:
        """Whether the certificates are still those of the handshake."""
        return self._files is None or self._material is self._files.read()

    def open(self, timeout_s: float) -> None:
        """Connects."""
        self.timeout = timeout_s
        self.connect()
        if self._files is not None:
            self.sock = tls.wrap_connected(self._files, self.sock)
        self.reader = messages.MessageReader(self.sock)

    def send_request(self, data: bytes, timeout_s: float) -> None:
        """Sends a whole request in one write."""
        self.sock.settimeout(timeout_s)
        self.sock.sendall(data)


class Forwarder:
    """Sends requests and reads whole answers."""

    def __init__(self, files: tls.KeyFiles | None = None):
        """Initializes the forwarder.

        Args:
          files: Certificates for mutual TLS with peers, None for backend
            servers and without TLS.
        """
        self._files = files
        self._idle: dict[ids.Address, collections.deque[_Connection]] = {}
        self._lock = threading.Lock()

    def exchange(
        self,
        address: ids.Address,
        call: calls.Call,
        encode_headers: Callable[[], bytes],
        on_sent: Callable[[], None] = lambda: None,
    ) -> messages.Answer | errors.Failure:
        """Sends the request of a call and reads the answer.

        Args:
          address: Peer listener or backend server.
          call: Its deadline limits the exchange.
          encode_headers: Returns the internal header lines; called right
            before sending, because connecting takes part of the deadline.
          on_sent: Called once the request is sent.

        Returns:
          The whole answer, or a failure, which says not-run only if no byte
          of the request can have left.
        """
        request = call.request
        try:
            conn = self._check_out(address, call.remaining_s)
        except (
            exceptions.HTTPError,
            OSError,
            tls.PeerRefusedError,
        ) as error:
            return errors.Failure(errors.ErrorKind.CONNECT_FAILED, str(error))
        keep = False
        try:
            if not call.may_be_sent:
                keep = True
                return errors.Failure(errors.ErrorKind.DEADLINE_TOO_SHORT)
            conn.send_request(
                b"".join(
                    (
                        request.forwarded_head,
                        encode_headers(),
                        b"\r\n",
                        request.body,
                    )
                ),
                max(0.001, call.remaining_s),
            )
            on_sent()
            conn.reader.deadline = call.deadline
            answer, keep = _read_answer(conn.reader, request.method)
            echoed = answer.find(calls.REQUEST_ID_HEADER)
            if echoed is not None and echoed.decode() != call.request_id:
                keep = False
                return errors.Failure(
                    errors.ErrorKind.ANSWER_INCOMPLETE,
                    "answer belongs to another request",
                )
            return answer
        except TimeoutError:
            return errors.Failure(errors.ErrorKind.TIMEOUT)
        except messages.IncompleteMessageError as error:
            return errors.Failure(
                errors.ErrorKind.ANSWER_INCOMPLETE
                if error.started
                else errors.ErrorKind.CONNECTION_LOST
            )
        except (
            messages.MalformedMessageError,
            messages.BodyTooLargeError,
        ) as error:
            return errors.Failure(
                errors.ErrorKind.ANSWER_INCOMPLETE, str(error)
            )
        except OSError as error:
            return errors.Failure(errors.ErrorKind.CONNECTION_LOST, str(error))
        finally:
            # Every path but a whole answer leaves the connection in a state
            # in which a late answer could be taken for the next one.
            if keep:
                self._check_in(address, conn)
            else:
                conn.close()

    def can_connect(self, address: ids.Address) -> bool:
        """Whether something listens at the address."""
        conn = _Connection(address)
        try:
            conn.open(CONNECT_TIMEOUT_S)
        except (exceptions.HTTPError, OSError):
            return False
        conn.close()
        return True

    def _check_out(
        self, address: ids.Address, remaining_s: float
    ) -> _Connection:
        idle = self._idle.get(address)
        oldest = time.monotonic() - MAX_IDLE_S
        while idle:
            try:
                conn = idle.pop()
            except IndexError:
                break  # Another thread took the last one.
            # Bytes waiting on an idle connection are its end or an answer
            # that nobody asked for.
            if conn.idle_since > oldest and conn.is_connected:
                return conn
            conn.close()
        conn = _Connection(address, self._files)
        conn.open(min(CONNECT_TIMEOUT_S, max(0.001, remaining_s)))
        return conn

    def _check_in(self, address: ids.Address, conn: _Connection) -> None:
        conn.idle_since = time.monotonic()
        idle = self._idle.get(address)
        if idle is None:
            with self._lock:
                idle = self._idle.setdefault(address, collections.deque())
        if len(idle) >= MAX_IDLE_CONNECTIONS or not conn.current:
            conn.close()
        else:
            idle.append(conn)

    def close_idle(self, oldest: float) -> None:
        """Closes connections idle since before a monotonic time."""
        for address, idle in list(self._idle.items()):
            while idle and idle[0].idle_since < oldest:
                try:
                    idle.popleft().close()
                except IndexError:
                    break
            if not idle:
                with self._lock:
                    if not idle:
                        self._idle.pop(address, None)


def _read_answer(
    reader: messages.MessageReader, method: str
) -> tuple[messages.Answer, bool]:
    """Returns the answer and whether the connection may be kept."""
    for _ in range(MAX_INTERIM_ANSWERS):
        head = messages.read_head(reader, MAX_ANSWER_HEAD_BYTES)
        line = messages.parse_status_line(head)
        if line.status >= 200:
            break
    else:
        raise messages.MalformedMessageError("too many interim answers")
    framing = messages.find_framing(head.headers)
    if method == "HEAD" or line.status in (204, 304):
        body = b""
    elif framing is None:
        # Without a length the end of the connection is the only end of the
        # answer, and a crash can't be told from it.
        raise messages.MalformedMessageError("answer without a length")
    else:
        body = messages.read_body(reader, framing, MAX_ANSWER_BYTES)
    connection_header = (head.find(b"connection") or b"").lower()
    # Bytes behind the answer belong to no request.
    keep = (
        line.keeps and b"close" not in connection_header and not reader.has_data
    )
    return messages.Answer(line.status, head.headers, body), keep
