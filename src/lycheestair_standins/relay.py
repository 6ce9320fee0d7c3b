"""TCP relay that delays, counts and, while it is cut, discards bytes."""

import contextlib
import queue
import socket
import threading
import time

CHUNK_BYTES = 65_536


class Link:
    """Relays connections to one address.

    Attributes:
      address: Loopback address that the relay listens on, "IP:port".
      bytes: Number of bytes relayed in both directions.
    """

    def __init__(self, target: str, delay_s: float):
        self._target = _split_address(target)
        self._delay_s = delay_s
        self._cut = False
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self.bytes = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def cut(self) -> None:
        """Starts to discard all bytes; connections stay open."""
        self._cut = True

    def heal(self) -> None:
        """Resumes relaying; closes all connections, as they may lack bytes."""
        self._close_sockets()
        self._cut = False

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self._listener.close()
        self._close_sockets()

    def _close_sockets(self) -> None:
        with self._lock:
            sockets, self._sockets = self._sockets, set()
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept_connections(self) -> None:
        while True:
            try:
                inbound, _ = self._listener.accept()
            except OSError:
                return
            try:
                outbound = socket.create_connection(self._target, timeout=5.0)
            except OSError:
                inbound.close()
                continue
            outbound.settimeout(None)
            with self._lock:
                self._sockets |= {inbound, outbound}
            for source, sink in ((inbound, outbound), (outbound, inbound)):
                # heal() may have closed the sockets; accepting must go on.
                with contextlib.suppress(OSError):
                    source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    self._start_forwarding(source, sink)

    def _start_forwarding(
        self, source: socket.socket, sink: socket.socket
    ) -> None:
        chunks: queue.SimpleQueue[tuple[float, bytes]] = queue.SimpleQueue()
        for worker in (self._read, self._write):
            threading.Thread(
                target=worker,
                args=(source if worker == self._read else sink, chunks),
                daemon=True,
            ).start()

    def _read(
        self,
        source: socket.socket,
        chunks: "queue.SimpleQueue[tuple[float, bytes]]",
    ) -> None:
        # Any value that is not empty.
        data = b"first"
        while data:
            try:
                data = source.recv(CHUNK_BYTES)
            except OSError:
                data = b""
            if not self._cut:
                self.bytes += len(data)
                chunks.put((time.monotonic() + self._delay_s, data))
            elif not data:
                chunks.put((0.0, b""))

    def _write(
        self,
        sink: socket.socket,
        chunks: "queue.SimpleQueue[tuple[float, bytes]]",
    ) -> None:
        while True:
            due_at, data = chunks.get()
            time.sleep(max(0.0, due_at - time.monotonic()))
            try:
                if not data:
                    sink.shutdown(socket.SHUT_RDWR)
                    return
                sink.sendall(data)
            except OSError:
                return


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
