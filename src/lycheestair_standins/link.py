"""TCP proxies that inject network faults between processes.

A link listens in place of its target and forwards bytes. It identifies the
source of a connection by the process that owns the connecting socket, so that
one listener per target suffices to partition any pair of processes.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import os
import random
import socket
import struct
import threading
import time
from typing import Final

BUFFER_BYTES: Final = 65_536
POLL_INTERVAL_S: Final = 0.02
# Constants and message layouts of sock_diag(7).
_NETLINK_SOCK_DIAG: Final = 4
_SOCK_DIAG_BY_FAMILY: Final = 20
_NLM_F_REQUEST: Final = 1
_ALL_STATES: Final = 0xFFFF_FFFF
_COOKIE_BYTES: Final = 8
_NETLINK_HEADER: Final = struct.Struct("=IHHII")
_DIAG_REQUEST: Final = struct.Struct("=BBxxI48s")
_SOCKET_ID: Final = struct.Struct("!HH4s12x4s12x4x8s")
_INODE: Final = struct.Struct("=I")
_INODE_OFFSET: Final = 84


@dataclasses.dataclass(frozen=True)
class Fault:
    """Network faults on the connections of one source through a link.

    Attributes:
      cut_forward: Whether bytes from the source are held back.
      cut_backward: Whether bytes from the target are held back.
      delay_ms: Delay in milliseconds of each chunk of bytes.
      jitter_ms: Maximum random delay in milliseconds that is added to delay_ms,
        so that messages on different connections overtake each other.
    """

    cut_forward: bool = False
    cut_backward: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0


NO_FAULT: Final = Fault()
CUT: Final = Fault(cut_forward=True, cut_backward=True)


class Link:
    """Forwards connections to one target, with faults by source process.

    While a direction is cut, bytes are held back rather than discarded, since
    TCP would retransmit them when the partition ends.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        target: tuple[str, int],
        read_fault: Callable[[int], Fault],
        list_sources: Callable[[], Iterable[int]],
    ):
        """Starts listening.

        Args:
          listen: Address to listen on.
          target: Address to forward to.
          read_fault: Returns the fault for the process ID of a source.
          list_sources: Returns the process IDs of the possible sources.
        """
        self._target = target
        self._read_fault = read_fault
        self._list_sources = list_sources
        self._closed = threading.Event()
        self._listener = socket.create_server(listen)
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def close(self) -> None:
        """Stops listening and ends the wait of connections that are cut."""
        self._closed.set()
        self._listener.close()

    def _accept_connections(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, peer = self._listener.accept()
                threading.Thread(
                    target=self._serve_connection,
                    args=(connection, peer),
                    daemon=True,
                ).start()

    def _serve_connection(
        self, source: socket.socket, peer: tuple[str, int]
    ) -> None:
        pid = find_owner_pid(peer, source.getsockname(), self._list_sources())
        while self._read_fault(pid).cut_forward:
            if self._closed.wait(POLL_INTERVAL_S):
                source.close()
                return
        try:
            target = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            source.close()
            return
        target.settimeout(None)
        for sock in (source, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(
            target=self._forward,
            args=(
                target,
                source,
                lambda: self._read_fault(pid).cut_backward,
                pid,
            ),
            daemon=True,
        ).start()
        self._forward(
            source, target, lambda: self._read_fault(pid).cut_forward, pid
        )

    def _forward(
        self,
        reader: socket.socket,
        writer: socket.socket,
        is_cut: Callable[[], bool],
        pid: int,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := reader.recv(BUFFER_BYTES):
                fault = self._read_fault(pid)
                delay_ms = fault.delay_ms + random.uniform(0, fault.jitter_ms)
                if delay_ms:
                    time.sleep(delay_ms / 1000)
                while is_cut():
                    if self._closed.wait(POLL_INTERVAL_S):
                        return
                writer.sendall(data)
        for sock in (reader, writer):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class LinkMesh:
    """Links to several targets, with faults by source and target.

    Processes are identified by name. A fault applies to all connections from a
    source to a target and to no others.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._links: list[Link] = []
        self._process_names: dict[int, str] = {}
        self._faults: dict[tuple[str, str], Fault] = {}

    def register_process(self, pid: int, name: str) -> None:
        """Sets the name by which faults refer to a process.

        An earlier process of that name, such as one that was restarted, loses
        it.
        """
        with self._lock:
            for old_pid in [
                other_pid
                for other_pid, other_name in self._process_names.items()
                if other_name == name
            ]:
                del self._process_names[old_pid]
            self._process_names[pid] = name

    def add_link(
        self, name: str, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Starts a link whose target is an address of the named process."""
        self._links.append(
            Link(
                listen,
                target,
                lambda pid: self._read_fault(pid, name),
                lambda: list(self._process_names),
            )
        )

    def set_fault(
        self, sources: list[str], targets: list[str], fault: Fault
    ) -> None:
        """Sets the fault of the links from all sources to all targets."""
        with self._lock:
            self._faults = self._faults | {
                (source, target): fault
                for source in sources
                for target in targets
            }

    def partition(self, group: list[str], other_group: list[str]) -> None:
        """Cuts all links between two groups in both directions."""
        self.set_fault(group, other_group, CUT)
        self.set_fault(other_group, group, CUT)

    def clear_faults(self) -> None:
        """Removes all faults."""
        with self._lock:
            self._faults = {}

    def close(self) -> None:
        """Closes all links."""
        for link in self._links:
            link.close()

    def _read_fault(self, pid: int, target: str) -> Fault:
        source = self._process_names.get(pid, "")
        return self._faults.get((source, target), NO_FAULT)


def find_owner_pid(
    source: tuple[str, int],
    target: tuple[str, int],
    candidates: Iterable[int],
) -> int:
    """Returns the process ID of the owner of a connecting socket.

    Queries the kernel for the single connection, because reading /proc/net/tcp
    takes 20 ms with 7,000 sockets on the machine.

    Args:
      source: Address of the connecting end.
      target: Address of the accepting end.
      candidates: Process IDs to check.

    Returns:
      The process ID, or 0 if no candidate owns the socket.
    """
    socket_file = f"socket:[{_find_socket_inode(source, target)}]"
    return next(
        (pid for pid in candidates if socket_file in _list_open_files(pid)), 0
    )


def _find_socket_inode(source: tuple[str, int], target: tuple[str, int]) -> int:
    """Returns the inode of a TCP socket, or 0 if there is none."""
    socket_id = _SOCKET_ID.pack(
        source[1],
        target[1],
        socket.inet_aton(source[0]),
        socket.inet_aton(target[0]),
        b"\xff" * _COOKIE_BYTES,
    )
    request = _DIAG_REQUEST.pack(
        socket.AF_INET, socket.IPPROTO_TCP, _ALL_STATES, socket_id
    )
    header = _NETLINK_HEADER.pack(
        _NETLINK_HEADER.size + len(request),
        _SOCK_DIAG_BY_FAMILY,
        _NLM_F_REQUEST,
        0,
        0,
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as netlink:
        netlink.send(header + request)
        reply = netlink.recv(BUFFER_BYTES)
    if _NETLINK_HEADER.unpack_from(reply)[1] != _SOCK_DIAG_BY_FAMILY:
        return 0
    return int(_INODE.unpack_from(reply, _INODE_OFFSET)[0])


def _list_open_files(pid: int) -> Iterator[str]:
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                yield os.readlink(entry.path)
