"""cheroot server with one thread for each persistent connection."""

from collections.abc import Callable
import contextlib
import socket
import threading
import time
from typing import Any
from typing import Final

from absl import logging
from cheroot import server
from urllib3.util import wait

from lycheestair import bodies
from lycheestair import error_responses
from lycheestair import errors
from lycheestair import messages
from lycheestair import request_memory
from lycheestair import settings as settings_lib
from lycheestair import tls

Handler = Callable[[messages.Request], messages.Response]

# Time limit for receiving a request, counted from its first byte.
RECEIVE_TIMEOUT_S: Final = 10.0
SEND_TIMEOUT_S: Final = 10.0
HANDSHAKE_TIMEOUT_S: Final = 5.0
# After an error response, unread bytes are discarded for at most this long:
# closing at once would reset the connection and lose the response.
LINGER_TIMEOUT_S: Final = 1.0
MAX_LINGER_BYTES: Final = 262_144
ACCEPT_BACKLOG: Final = 512
# Connections beyond the limit that have been told to end and still do.
MAX_ENDING: Final = 8
# Least time between two log lines about limits of callers.
WARNING_INTERVAL_S: Final = 5
# Most bytes received at once while memory for requests is short.
MIN_RECEIVE_BYTES: Final = 8_192


class _RequestRefusedError(Exception):
    """The request is invalid; the connection is closed after the response."""

    def __init__(self, failure: errors.Failure):
        super().__init__(failure.detail)
        self.failure = failure


_STALLED: Final = errors.Failure(
    errors.ErrorKind.OVERLOADED, "request stalled while resources were short"
)
_MEMORY_SHORT: Final = errors.Failure(
    errors.ErrorKind.OVERLOADED, "memory for requests is short"
)


def _warn(text: str) -> None:
    """Writes a log line, rarely: many clients may stall at once."""
    logging.log_every_n_seconds(
        logging.WARNING, "callers' limits: %s", WARNING_INTERVAL_S, text
    )


class Connection(server.HTTPConnection):
    """Connection that is served by one thread until it ends."""

    def __init__(self, owner: "Server", sock: socket.socket, _: Any = None):
        self.server = owner
        self._set_socket(sock)
        self.keep_alive = True
        # Charge of the request that is being read or handled.
        self._charge: request_memory.Charge | None = None
        self._is_shed = False
        # Time in seconds since which the connection waits for a whole request,
        # None while it handles one.
        self._reading_since: float | None = time.monotonic()
        self._has_begun = False

    def _set_socket(self, sock: socket.socket) -> None:
        self.socket = sock
        self.reader = messages.MessageReader(sock)

    def do_handshake(self, certificate_files: tls.CertificateFiles) -> None:
        """Performs the TLS handshake before the first request.

        Raises:
          PeerRefusedError: The peer did not authenticate as a node.
        """
        self.socket.settimeout(HANDSHAKE_TIMEOUT_S)
        self._set_socket(tls.wrap_accepted(certificate_files, self.socket))

    def communicate(self) -> bool:
        """Serves requests until the connection ends."""
        while self.keep_alive:
            if not self._serve_request():
                return False
        return False

    def _serve_request(self) -> bool:
        """Serves one request; returns whether another one may follow."""
        memory: request_memory.RequestMemory | None = self.server.memory
        if memory is not None:
            self._charge = memory.open_charge(self.shed)
            self.reader.receive_bytes = (
                messages.RECEIVE_BUFFER_BYTES
                if memory.used < memory.limit // 2
                else MIN_RECEIVE_BYTES
            )
        try:
            failure = None
            self._has_begun = False
            self._reading_since = time.monotonic()
            try:
                request = self._read_request()
            except _RequestRefusedError as error:
                failure = error.failure
            except (OSError, messages.IncompleteMessageError):
                if not self._is_shed or not self._has_begun:
                    return False
                failure = _STALLED
            if failure is not None:
                # Refusing takes time, in which the memory is free already.
                self._release_charge()
                if failure is _STALLED or failure is _MEMORY_SHORT:
                    _warn(failure.detail)
                self._refuse(failure)
                return False
            self._reading_since = None
            with self.server.in_flight:
                response = self._handle(request)
                if self.server.closing:
                    self.keep_alive = False
                try:
                    self.send(response, request.method == "HEAD")
                except OSError:
                    return False
            return True
        finally:
            self._release_charge()

    def _release_charge(self) -> None:
        if self._charge is not None:
            self._charge.release()
            self._charge = None

    def read_stalled_s(self, now: float) -> float:
        """Returns for how long no whole request and no progress was seen."""
        since, charge = self._reading_since, self._charge
        if since is None:
            return 0.0
        if charge is not None:
            if charge.is_waiting:
                return 0.0
            since = max(since, charge.progress_at)
        return now - since

    def is_slow(self, now: float) -> bool:
        """Returns whether the request that is being read arrives slowly."""
        since, charge = self._reading_since, self._charge
        if since is None or charge is None or not self._has_begun:
            return False
        age_s = now - since
        return (
            age_s > request_memory.SLOW_S
            and not charge.is_waiting
            and charge.received < age_s * request_memory.SLOW_BYTES_PER_S
        )

    @property
    def has_begun(self) -> bool:
        """Whether a part of a request has arrived."""
        return self._has_begun

    def shed(self) -> None:
        """Ends the reading of a request; called from other threads."""
        self._is_shed = True
        charge = self._charge
        if charge is not None:
            # Otherwise the chunks that have arrived already would be decoded
            # first, which takes seconds at the pace of small ones.
            charge.is_shed = True
        with contextlib.suppress(OSError):  # The client has disconnected.
            self.socket.shutdown(socket.SHUT_RD)

    def _handle(self, request: messages.Request) -> messages.Response:
        try:
            handler: Handler = self.server.handler
            return handler(request)
        except Exception:  # A failed request must not affect others.
            logging.exception("request handler failed")
            return error_responses.encode(
                errors.Failure(errors.ErrorKind.INTERNAL)
            )

    def _read_request(self) -> messages.Request:
        limits = self.server.limits
        self.reader.deadline = time.monotonic() + limits.idle_timeout_s
        if not self.reader.has_buffered_data and not self.reader.fill():
            raise messages.IncompleteMessageError(False)
        self._has_begun = True
        self.reader.deadline = time.monotonic() + RECEIVE_TIMEOUT_S
        try:
            head = messages.read_head(self.reader, limits.max_header_bytes)
            return self._read_after_head(head, limits.max_body_bytes)
        except messages.MalformedMessageError as error:
            raise _RequestRefusedError(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, str(error))
            ) from error
        except messages.BodyTooLargeError as error:
            raise _RequestRefusedError(
                errors.Failure(errors.ErrorKind.BODY_TOO_LARGE, str(error))
            ) from error
        except request_memory.MemoryShortError as error:
            raise _RequestRefusedError(
                _STALLED if self._is_shed else _MEMORY_SHORT
            ) from error
        except TimeoutError as error:
            raise _RequestRefusedError(
                errors.Failure(
                    errors.ErrorKind.BAD_REQUEST,
                    "request was not received in time",
                )
            ) from error

    def _read_after_head(
        self, head: messages.MessageHead, max_body_bytes: int
    ) -> messages.Request:
        line = messages.parse_request_line(head)
        framing = messages.parse_body_framing(head.headers) or 0
        if framing > max_body_bytes:
            raise messages.BodyTooLargeError(
                f"body is larger than {max_body_bytes} bytes"
            )
        connection = (head.find_header(b"connection") or b"").lower()
        self.keep_alive = line.is_persistent and b"close" not in connection
        expected = head.find_header(b"expect")
        if expected is not None:
            if expected.lower() != b"100-continue":
                raise messages.MalformedMessageError("unknown expectation")
            if framing:
                self._send_bytes(b"HTTP/1.1 100 Continue\r\n\r\n")
        body: messages.Body = b""
        if framing and self._charge is not None:
            budget = bodies.ChargedBudget(self.server.memory, self._charge)
            body = bodies.read_body(
                self.reader, framing, max_body_bytes, budget
            )
            self._charge.finish_reading()
        elif framing:
            body = bodies.read_body(self.reader, framing, max_body_bytes)
        target = line.target
        return messages.Request(
            method=line.method.decode(),
            target=target,
            path=target.partition(b"?")[0].decode("latin-1"),
            host=line.host.decode(),
            headers=head.headers,
            body=body,
            is_sender_disconnected=self._is_peer_disconnected
            if self.server.from_peers
            else lambda: False,
        )

    def _is_peer_disconnected(self) -> bool:
        # A peer sends nothing while it waits for a response, so the socket
        # only becomes readable when the peer closes the connection.
        try:
            return wait.wait_for_read(self.socket, timeout=0)
        except (OSError, ValueError):
            return True

    def send(self, answer: messages.Response, omit_body: bool) -> None:
        """Sends a response in one write."""
        has_no_body = answer.status in (204, 304)
        self._send_bytes(
            b"HTTP/1.1 %d %s\r\n%s%s%s\r\n%s"
            % (
                answer.status,
                error_responses.get_reason_phrase(answer.status),
                messages.encode_headers(answer.headers),
                b""
                if has_no_body
                or (omit_body and answer.find_header(b"content-length"))
                else b"content-length: %d\r\n" % len(answer.body),
                b"" if self.keep_alive else b"connection: close\r\n",
                b"" if omit_body or has_no_body else answer.body,
            )
        )

    def _send_bytes(self, data: bytes) -> None:
        self.socket.settimeout(SEND_TIMEOUT_S)
        self.socket.sendall(data)

    def _refuse(self, failure: errors.Failure) -> None:
        self.keep_alive = False
        try:
            self.send(error_responses.encode(failure), False)
            self.socket.shutdown(socket.SHUT_WR)
            self.reader.deadline = time.monotonic() + LINGER_TIMEOUT_S
            discarded_bytes = 0
            while discarded_bytes < MAX_LINGER_BYTES:
                if not self.reader.fill():
                    return
                discarded_bytes += self.reader.clear()
        except OSError:
            return

    def close(self) -> None:
        """Closes the socket."""
        with contextlib.suppress(OSError):  # The peer has already closed it.
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()


class InFlightRequests:
    """Counts requests in progress.

    Attributes:
      count: Requests in progress.
      total_started: Requests since the listener was created.
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self.count = 0
        self.total_started = 0

    def __enter__(self) -> None:
        with self._condition:
            self.count += 1
            self.total_started += 1

    def __exit__(self, *_: object) -> None:
        with self._condition:
            self.count -= 1
            if not self.count:
                self._condition.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Returns whether all requests finished within the timeout."""
        with self._condition:
            return self._condition.wait_for(lambda: not self.count, timeout_s)


class Server(server.HTTPServer):
    """HTTP listener with one thread for each connection."""

    ConnectionClass = Connection
    request_queue_size = ACCEPT_BACKLOG
    expiration_interval = 0.25

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: settings_lib.RequestSettings,
        max_connections: int,
        certificate_files: tls.CertificateFiles | None = None,
        from_peers: bool = False,
        memory: request_memory.RequestMemory | None = None,
    ):
        """Initializes the listener without binding it.

        Args:
          address: Address to listen on, "IP:port".
          handler: Processes requests; called from many threads.
          limits: Size limits and idle timeout of requests.
          max_connections: Limit of open connections; more are refused.
          certificate_files: Certificates for mutual TLS between nodes, None
            without TLS.
          from_peers: Whether requests come from nodes. A node closes a
            connection only to abandon its request, while a client may
            half-close it and still expect the response.
          memory: Budget for the requests of clients, None without a limit.
        """
        host, _, port = address.rpartition(":")
        super().__init__(
            (host.strip("[]"), int(port)), server.Gateway, minthreads=1
        )
        self.handler = handler
        self.limits = limits
        self.in_flight = InFlightRequests()
        self.closing = False
        self._certificate_files = certificate_files
        self.from_peers = from_peers
        self._max_connections = max_connections
        self._lock = threading.Lock()
        self._open_connections: set[Connection] = set()
        # Connections that have been shed and still end.
        self._ending_connections: set[Connection] = set()
        self.memory = memory
        self.shed_count = 0

    @property
    def address(self) -> str:
        """Address of the listener, "IP:port"."""
        host, port = self.bind_addr
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def start(self) -> None:
        """Binds the address and serves in a background thread.

        Raises:
          OSError: The address can't be bound.
        """
        self.prepare()
        threading.Thread(
            target=self.serve, name=f"accept {self.address}", daemon=True
        ).start()

    def process_conn(self, conn: Connection) -> None:
        """Starts a thread for a new connection. Called by cheroot."""
        with self._lock:
            admitted = self._find_room()
            if admitted:
                self._open_connections.add(conn)
        if not admitted and self._certificate_files is not None:
            conn.close()
            return
        if not admitted:
            failure = errors.Failure(
                errors.ErrorKind.OVERLOADED, "too many connections"
            )
            conn.keep_alive = False
            with contextlib.suppress(OSError):  # The client has disconnected.
                conn.send(error_responses.encode(failure), False)
            conn.close()
            return
        threading.Thread(target=self._run, args=(conn,), daemon=True).start()

    def _find_room(self) -> bool:
        """Returns whether a connection may be added; sheds one if necessary.

        Connections of clients without progress are shed, those with an
        incomplete request first.
        """
        if len(self._open_connections) < self._max_connections:
            return True
        if self.memory is None or len(self._ending_connections) >= MAX_ENDING:
            return False
        now = time.monotonic()
        stalled = max(
            (
                conn
                for conn in self._open_connections
                if conn.read_stalled_s(now) > request_memory.STALL_S
                or conn.is_slow(now)
            ),
            key=lambda conn: (conn.has_begun, conn.read_stalled_s(now)),
            default=None,
        )
        if stalled is None:
            return False
        self._open_connections.discard(stalled)
        self._ending_connections.add(stalled)
        self.shed_count += 1
        _warn("connection closed, because all are taken")
        stalled.shed()
        return True

    def _run(self, conn: Connection) -> None:
        try:
            if self._certificate_files is not None:
                conn.do_handshake(self._certificate_files)
            conn.communicate()
        except tls.PeerRefusedError as error:
            logging.warning(
                "TLS connection to listener %s refused: %s",
                self.address,
                error,
            )
        finally:
            conn.close()
            with self._lock:
                self._open_connections.discard(conn)
                self._ending_connections.discard(conn)

    def close_listener(self) -> None:
        """Stops accepting; open connections end after their next response."""
        self.closing = True
        super().stop()

    def close_connections(self) -> None:
        """Closes all connections, including those with active requests."""
        with self._lock:
            connections = [*self._open_connections, *self._ending_connections]
        for connection in connections:
            connection.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Writes cheroot's messages to the log. Called by cheroot."""
        logging.log(
            logging.WARNING if traceback else logging.INFO,
            "%s",
            msg,
            exc_info=traceback,
        )
