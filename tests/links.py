"""TCP relays between nodes that can be blocked and count the relayed bytes."""

import contextlib
import socket
import threading

from lycheestair import control


class Link:
    """Relays TCP connections to a target; one for each ordered node pair.

    Blocking a link closes its connections. While it is blocked, new connections
    are accepted but hang until the caller times out, as in a network partition.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._sockets = set()
        self._closed = False
        self.blocked = False
        self.sent = self.received = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def set_blocked(self, blocked):
        self.blocked = blocked
        # Unblocking also closes hanging connections, so that gRPC reconnects.
        self._close_connections()

    def close(self):
        self._closed = True
        self._listener.close()
        self._close_connections()

    def _close_connections(self):
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _accept(self):
        while not self._closed:
            try:
                downstream, _ = self._listener.accept()
            except OSError:
                return
            self._sockets.add(downstream)
            if self.blocked:
                continue
            try:
                upstream = socket.create_connection(self._target, 1.0)
            except OSError:
                downstream.close()
                self._sockets.discard(downstream)
                continue
            self._sockets.add(upstream)
            for source, sink, name in (
                (downstream, upstream, "sent"),
                (upstream, downstream, "received"),
            ):
                threading.Thread(
                    target=self._relay, args=(source, sink, name), daemon=True
                ).start()

    def _relay(self, source, sink, name):
        """Copies bytes and adds their number to the attribute `name`."""
        try:
            while data := source.recv(65_536):
                setattr(self, name, getattr(self, name) + len(data))
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self._sockets.discard(source)


class Network:
    """Links of all node pairs; a partition blocks links between groups."""

    def __init__(self):
        self._lock = threading.Lock()
        self._links = {}
        self._groups = ()

    def find_link(self, source, target):
        with self._lock:
            if (source, target) not in self._links:
                link = self._links[source, target] = Link(target)
                link.blocked = self._is_separated(source, target)
            return self._links[source, target]

    def partition(self, *groups):
        with self._lock:
            self._groups = groups
            links = dict(self._links)
        for (source, target), link in links.items():
            blocked = self._is_separated(source, target)
            if blocked != link.blocked:
                link.set_blocked(blocked)

    def heal(self):
        self.partition()

    def close(self):
        for link in self._links.values():
            link.close()

    def is_in_first_group(self, address):
        """Returns whether the address is in the first partitioned group."""
        return bool(self._groups) and address in self._groups[0]

    def _is_separated(self, source, target):
        return any((source in g) != (target in g) for g in self._groups)


class LinkedChannels(control.PeerChannels):
    """Channels of one node that connect through the links of a network."""

    def __init__(self, settings, network):
        super().__init__(settings)
        self._source = settings.listeners.control
        self._network = network

    def connect(self, address):
        return super().connect(
            self._network.find_link(self._source, address).address
        )

    def retain(self, addresses):
        super().retain(
            {
                self._network.find_link(self._source, a).address
                for a in addresses
            }
        )
