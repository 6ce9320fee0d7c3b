"""HTTP requests to peers and backend servers over pooled connections."""

import collections
from collections.abc import Callable
import threading
import time
from typing import Final

from urllib3 import connection
from urllib3 import exceptions

from lycheestair import bodies
from lycheestair import calls
from lycheestair import error_responses
from lycheestair import errors
from lycheestair import ids
from lycheestair import messages
from lycheestair import tls

# Shorter than the idle timeout of the listeners, so that no connection is
# reused while the peer closes it.
MAX_IDLE_S: Final = 10.0
MAX_IDLE_CONNECTIONS: Final = 64
CONNECT_TIMEOUT_S: Final = 1.0
MAX_RESPONSE_BODY_BYTES: Final = 8_388_608
MAX_RESPONSE_HEAD_BYTES: Final = 32_768
MAX_INTERIM_RESPONSES: Final = 8
# Larger bodies are sent apart from the head.
MAX_JOINED_BODY_BYTES: Final = 65_536


class _PooledConnection(connection.HTTPConnection):
    """Pooled connection with a buffered reader."""

    def __init__(
        self,
        address: ids.Address,
        certificate_files: tls.CertificateFiles | None = None,
    ):
        host, _, port = address.rpartition(":")
        super().__init__(host.strip("[]"), int(port))
        self.idle_since = 0.0
        self._certificate_files = certificate_files
        self._tls_material = (
            certificate_files.read() if certificate_files else None
        )

    @property
    def has_current_certificate(self) -> bool:
        """Whether the certificate of the handshake is still in use."""
        return (
            self._certificate_files is None
            or self._tls_material is self._certificate_files.read()
        )

    def open(self, timeout_s: float) -> None:
        """Connects and, if TLS is used, does the handshake."""
        self.timeout = timeout_s
        self.connect()
        if self._certificate_files is not None:
            self.sock = tls.wrap_connected(self._certificate_files, self.sock)
        self.reader = messages.MessageReader(self.sock)

    def send_request(
        self, head: bytes, body: messages.Body, timeout_s: float
    ) -> None:
        """Sends a whole request, in one write unless the body is large."""
        self.sock.settimeout(timeout_s)
        if len(body) <= MAX_JOINED_BODY_BYTES:
            self.sock.sendall(head + body)
            return
        # Joined, a large body would take its memory twice.
        self.sock.sendall(head)
        self.sock.sendall(body)


class Forwarder:
    """Sends requests and reads complete responses."""

    def __init__(self, certificate_files: tls.CertificateFiles | None = None):
        """Initializes the forwarder.

        Args:
          certificate_files: Certificates for mutual TLS with peers; None for
            backend servers or if TLS is off.
        """
        self._certificate_files = certificate_files
        self._idle: dict[ids.Address, collections.deque[_PooledConnection]] = {}
        self._lock = threading.Lock()

    def exchange(
        self,
        address: ids.Address,
        call: calls.Call,
        encode_headers: Callable[[], bytes],
        on_sent: Callable[[], None] = lambda: None,
    ) -> messages.Response | errors.Failure:
        """Sends the request of a call and reads the response.

        Args:
          address: Address of a peer listener or backend server.
          call: Call whose deadline limits the exchange.
          encode_headers: Returns the internal header lines; called right
            before sending, because connecting uses up part of the deadline.
          on_sent: Called once the request is sent.

        Returns:
          The complete response or a failure. Its execution is "not-run" only
          if no byte of the request can have been sent.
        """
        request = call.request
        try:
            conn = self._acquire(address, call.remaining_s)
        except (
            exceptions.HTTPError,
            OSError,
            tls.PeerRefusedError,
        ) as error:
            return errors.Failure(errors.ErrorKind.CONNECT_FAILED, str(error))
        reusable = False
        try:
            if not call.can_start:
                reusable = True
                return errors.Failure(errors.ErrorKind.DEADLINE_TOO_SHORT)
            conn.send_request(
                b"".join(
                    (
                        request.encoded_head,
                        encode_headers(),
                        b"\r\n",
                    )
                ),
                request.body,
                max(0.001, call.remaining_s),
            )
            on_sent()
            conn.reader.deadline = call.deadline
            response, reusable = _read_response(conn.reader, request.method)
            echoed_id = response.find_header(calls.REQUEST_ID_HEADER)
            if echoed_id not in (None, call.request_id.encode()):
                reusable = False
                return errors.Failure(
                    errors.ErrorKind.ANSWER_INCOMPLETE,
                    "answer belongs to another request",
                )
            if (
                echoed_id is None
                and response.find_header(error_responses.EXECUTION_HEADER)
                is not None
            ):
                # A second copy would be taken for the refusal of the next
                # request.
                reusable = False
            return response
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
            # Unless the response is complete, a late response could be taken
            # for that of the next request on the connection.
            if reusable:
                self._release(address, conn)
            else:
                conn.close()

    def can_connect(self, address: ids.Address) -> bool:
        """Whether the address accepts connections."""
        conn = _PooledConnection(address)
        try:
            conn.open(CONNECT_TIMEOUT_S)
        except (exceptions.HTTPError, OSError):
            return False
        conn.close()
        return True

    def _acquire(
        self, address: ids.Address, remaining_s: float
    ) -> _PooledConnection:
        idle = self._idle.get(address)
        cutoff = time.monotonic() - MAX_IDLE_S
        while idle:
            try:
                conn = idle.pop()
            except IndexError:
                break  # Another thread took the last connection.
            # An idle connection is readable if the server has closed it or
            # sent an unsolicited response; neither can be reused.
            if conn.idle_since > cutoff and conn.is_connected:
                return conn
            conn.close()
        conn = _PooledConnection(address, self._certificate_files)
        conn.open(min(CONNECT_TIMEOUT_S, max(0.001, remaining_s)))
        return conn

    def _release(self, address: ids.Address, conn: _PooledConnection) -> None:
        conn.idle_since = time.monotonic()
        idle = self._idle.get(address)
        if idle is None:
            with self._lock:
                idle = self._idle.setdefault(address, collections.deque())
        if (
            len(idle) >= MAX_IDLE_CONNECTIONS
            or not conn.has_current_certificate
        ):
            conn.close()
        else:
            idle.append(conn)

    def close_idle(self, cutoff: float) -> None:
        """Closes connections that became idle before a monotonic time."""
        for address, idle in list(self._idle.items()):
            while idle and idle[0].idle_since < cutoff:
                try:
                    idle.popleft().close()
                except IndexError:
                    break
            if not idle:
                with self._lock:
                    if not idle:
                        self._idle.pop(address, None)


def _read_response(
    reader: messages.MessageReader, method: str
) -> tuple[messages.Response, bool]:
    """Returns the response and whether the connection is reusable."""
    for _ in range(MAX_INTERIM_RESPONSES):
        head = messages.read_head(reader, MAX_RESPONSE_HEAD_BYTES)
        line = messages.parse_status_line(head)
        if line.status >= 200:
            break
    else:
        raise messages.MalformedMessageError("too many interim answers")
    framing = messages.parse_body_framing(head.headers)
    if method == "HEAD" or line.status in (204, 304):
        body = b""
    elif framing is None:
        # Without a length, only the end of the connection delimits the
        # response, and a crash looks the same.
        raise messages.MalformedMessageError("answer without a length")
    else:
        body = bytes(bodies.read_body(reader, framing, MAX_RESPONSE_BODY_BYTES))
    connection_header = (head.find_header(b"connection") or b"").lower()
    # Data after the response belongs to no request.
    reusable = (
        line.is_persistent
        and b"close" not in connection_header
        and not reader.has_buffered_data
    )
    return messages.Response(line.status, head.headers, body), reusable
