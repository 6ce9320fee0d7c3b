"""cheroot server whose threads stay with their kept-alive connections."""

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

from lycheestair import errors
from lycheestair import messages
from lycheestair import refusals
from lycheestair import settings as settings_lib
from lycheestair import tls

Handler = Callable[[messages.Request], messages.Answer]

# Time for a request to arrive whole once its first byte has arrived.
RECEIVE_TIMEOUT_S: Final = 10.0
SEND_TIMEOUT_S: Final = 10.0
HANDSHAKE_TIMEOUT_S: Final = 5.0
# After a refusal, unread bytes are dropped for this long; closing at once
# would reset the connection and lose the refusal.
LINGER_TIMEOUT_S: Final = 1.0
LINGER_BYTES: Final = 262_144
ACCEPT_BACKLOG: Final = 512


class _RefusedError(Exception):
    """The request can't be read; the connection is closed after the answer."""

    def __init__(self, failure: errors.Failure):
        super().__init__(failure.detail)
        self.failure = failure


class Connection(server.HTTPConnection):
    """Connection that one thread reads and answers until it ends."""

    def __init__(self, owner: "Server", sock: socket.socket, _: Any = None):
        self.server = owner
        self._use(sock)
        self.keep = True

    def _use(self, sock: socket.socket) -> None:
        self.socket = sock
        self.reader = messages.MessageReader(sock)

    def encrypt(self, files: tls.KeyFiles) -> None:
        """Does the TLS handshake before the first request.

        Raises:
          PeerRefusedError: The other end is not a node.
        """
        self.socket.settimeout(HANDSHAKE_TIMEOUT_S)
        self._use(tls.wrap_accepted(files, self.socket))

    def communicate(self) -> bool:
        """Answers requests until the connection ends."""
        while self.keep:
            try:
                request = self._read_request()
            except _RefusedError as refused:
                self._refuse(refused.failure)
                return False
            except (OSError, messages.IncompleteMessageError):
                return False
            with self.server.in_flight:
                answer = self._handle(request)
                if self.server.closing:
                    self.keep = False
                try:
                    self.send(answer, request.method == "HEAD")
                except OSError:
                    return False
        return False

    def _handle(self, request: messages.Request) -> messages.Answer:
        try:
            handler: Handler = self.server.handler
            return handler(request)
        except Exception:  # One request must not end the others' process.
            logging.exception("request handler failed")
            return refusals.encode(errors.Failure(errors.ErrorKind.INTERNAL))

    def _read_request(self) -> messages.Request:
        limits = self.server.limits
        self.reader.deadline = time.monotonic() + limits.idle_timeout_s
        if not self.reader.has_data and not self.reader.fill():
            raise messages.IncompleteMessageError(False)
        self.reader.deadline = time.monotonic() + RECEIVE_TIMEOUT_S
        try:
            head = messages.read_head(self.reader, limits.max_header_bytes)
            return self._read_rest(head, limits.max_body_bytes)
        except messages.MalformedMessageError as error:
            raise _RefusedError(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, str(error))
            ) from error
        except messages.BodyTooLargeError as error:
            raise _RefusedError(
                errors.Failure(errors.ErrorKind.BODY_TOO_LARGE, str(error))
            ) from error
        except TimeoutError as error:
            raise _RefusedError(
                errors.Failure(
                    errors.ErrorKind.BAD_REQUEST,
                    "request was not received in time",
                )
            ) from error

    def _read_rest(
        self, head: messages.Head, max_body_bytes: int
    ) -> messages.Request:
        line = messages.parse_request_line(head)
        framing = messages.find_framing(head.headers) or 0
        if framing > max_body_bytes:
            raise messages.BodyTooLargeError(
                f"body is larger than {max_body_bytes} bytes"
            )
        connection = (head.find(b"connection") or b"").lower()
        self.keep = line.keeps and b"close" not in connection
        expected = head.find(b"expect")
        if expected is not None:
            if expected.lower() != b"100-continue":
                raise messages.MalformedMessageError("unknown expectation")
            if framing:
                self._send_bytes(b"HTTP/1.1 100 Continue\r\n\r\n")
        body = messages.read_body(self.reader, framing, max_body_bytes)
        target = line.target
        return messages.Request(
            method=line.method.decode(),
            target=target,
            path=target.partition(b"?")[0].decode("latin-1"),
            host=line.host.decode(),
            headers=head.headers,
            body=body,
            is_abandoned=self._is_abandoned
            if self.server.from_peers
            else lambda: False,
        )

    def _is_abandoned(self) -> bool:
        # Nodes send nothing before the answer, so that the only thing to be
        # read is the end of the connection.
        try:
            return wait.wait_for_read(self.socket, timeout=0)
        except (OSError, ValueError):
            return True

    def send(self, answer: messages.Answer, without_body: bool) -> None:
        """Sends an answer in one write."""
        no_content = answer.status in (204, 304)
        self._send_bytes(
            b"HTTP/1.1 %d %s\r\n%s%s%s\r\n%s"
            % (
                answer.status,
                refusals.find_reason(answer.status),
                messages.encode_headers(answer.headers),
                b""
                if no_content
                or (without_body and answer.find(b"content-length"))
                else b"content-length: %d\r\n" % len(answer.body),
                b"" if self.keep else b"connection: close\r\n",
                b"" if without_body or no_content else answer.body,
            )
        )

    def _send_bytes(self, data: bytes) -> None:
        self.socket.settimeout(SEND_TIMEOUT_S)
        self.socket.sendall(data)

    def _refuse(self, failure: errors.Failure) -> None:
        self.keep = False
        try:
            self.send(refusals.encode(failure), False)
            self.socket.shutdown(socket.SHUT_WR)
            self.reader.deadline = time.monotonic() + LINGER_TIMEOUT_S
            dropped = 0
            while dropped < LINGER_BYTES:
                if not self.reader.fill():
                    return
                dropped += self.reader.clear()
        except OSError:
            return

    def close(self) -> None:
        """Closes the socket."""
        with contextlib.suppress(OSError):  # The peer was faster.
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()


class InFlight:
    """Counts requests that are being answered.

    Attributes:
      started: Requests since the start.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self.count = 0
        self.started = 0

    def __enter__(self) -> None:
        with self._changed:
            self.count += 1
            self.started += 1

    def __exit__(self, *_: object) -> None:
        with self._changed:
            self.count -= 1
            if not self.count:
                self._changed.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Returns whether no request was left within the time."""
        with self._changed:
            return self._changed.wait_for(lambda: not self.count, timeout_s)


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
        files: tls.KeyFiles | None = None,
        from_peers: bool = False,
    ):
        """Prepares a listener.

        Args:
          address: Address to listen on, "IP:port".
          handler: Answers requests; called from many threads.
          limits: Limits of requests.
          max_connections: More connections are refused.
          files: Certificates for mutual TLS between nodes, None without.
          from_peers: Whether nodes call, which close a connection only when
            they give up; a caller may close its sending side alone.
        """
        host, _, port = address.rpartition(":")
        super().__init__(
            (host.strip("[]"), int(port)), server.Gateway, minthreads=1
        )
        self.handler = handler
        self.limits = limits
        self.in_flight = InFlight()
        self.closing = False
        self._files = files
        self.from_peers = from_peers
        self._max_connections = max_connections
        self._lock = threading.Lock()
        self._open: set[Connection] = set()

    @property
    def address(self) -> str:
        """The address listened on, "IP:port"."""
        host, port = self.bind_addr
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def start(self) -> None:
        """Starts to listen and returns.

        Raises:
          OSError: The address can't be bound.
        """
        self.prepare()
        threading.Thread(
            target=self.serve, name=f"accept {self.address}", daemon=True
        ).start()

    def process_conn(self, conn: Connection) -> None:
        """Starts the thread of a new connection. Called by cheroot."""
        with self._lock:
            admitted = len(self._open) < self._max_connections
            if admitted:
                self._open.add(conn)
        if not admitted and self._files is not None:
            conn.close()
            return
        if not admitted:
            failure = errors.Failure(
                errors.ErrorKind.OVERLOADED, "too many connections"
            )
            conn.keep = False
            with contextlib.suppress(OSError):  # The caller left.
                conn.send(refusals.encode(failure), False)
            conn.close()
            return
        threading.Thread(target=self._run, args=(conn,), daemon=True).start()

    def _run(self, conn: Connection) -> None:
        try:
            if self._files is not None:
                conn.encrypt(self._files)
            conn.communicate()
        except tls.PeerRefusedError as error:
            logging.warning("connection to %s refused: %s", self.address, error)
        finally:
            conn.close()
            with self._lock:
                self._open.discard(conn)

    def close_listener(self) -> None:
        """Refuses new connections and ends kept ones after their answer."""
        self.closing = True
        super().stop()

    def close_connections(self) -> None:
        """Closes all connections, whatever their state."""
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            connection.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Writes cheroot's messages to the log."""
        logging.log(
            logging.WARNING if traceback else logging.INFO,
            "%s",
            msg,
            exc_info=traceback,
        )
