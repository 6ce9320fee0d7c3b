"""Stand-in for a link: TCP relay with a delay, a byte count and cuts."""

import contextlib
import queue
import socket
import threading
import time

CHUNK_BYTES = 65_536


class Link:
    """Relays connections to one address.

    Attributes:
      address: Loopback address to connect to.
      bytes: Bytes relayed in both directions.
    """

    def __init__(self, target: str, delay_s: float):
        self._target = _parse(target)
        self._delay_s = delay_s
        self._cut = False
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self.bytes = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Loses all bytes from now on; connections stay open."""
        self._cut = True

    def heal(self) -> None:
        """Relays again; connections that have lost bytes are closed."""
        self._drop_all()
        self._cut = False

    def close(self) -> None:
        """Ends the relay."""
        self._listener.close()
        self._drop_all()

    def _drop_all(self) -> None:
        with self._lock:
            dropped, self._sockets = self._sockets, set()
        for item in dropped:
            with contextlib.suppress(OSError):
                item.shutdown(socket.SHUT_RDWR)
            item.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self._target, timeout=5.0)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            with self._lock:
                self._sockets |= {near, far}
            for source, sink in ((near, far), (far, near)):
                # A healed link has closed them meanwhile; it goes on accepting.
                with contextlib.suppress(OSError):
                    source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    self._start_direction(source, sink)

    def _start_direction(
        self, source: socket.socket, sink: socket.socket
    ) -> None:
        chunks: queue.SimpleQueue[tuple[float, bytes]] = queue.SimpleQueue()
        for step in (self._read, self._write):
            threading.Thread(
                target=step,
                args=(source if step == self._read else sink, chunks),
                daemon=True,
            ).start()

    def _read(
        self,
        source: socket.socket,
        chunks: "queue.SimpleQueue[tuple[float, bytes]]",
    ) -> None:
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
            due, data = chunks.get()
            time.sleep(max(0.0, due - time.monotonic()))
            try:
                if not data:
                    sink.shutdown(socket.SHUT_RDWR)
                    return
                sink.sendall(data)
            except OSError:
                return


def _parse(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
