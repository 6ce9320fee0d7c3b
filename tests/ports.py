"""Loopback ports for servers that bind them later."""

import collections
import socket
from typing import Final

# Bounds the descriptors of a test run; the oldest ports are given up first.
MAX_RESERVED: Final = 128

_reserved: collections.deque[socket.socket] = collections.deque(
    maxlen=MAX_RESERVED
)


def reserve_port():
    """Returns a port that only a server with SO_REUSEADDR can bind.

    The port stays bound, without listening, so that the kernel gives it to no
    outgoing connection and to no other process before the server binds it.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("", 0))
    _reserved.append(sock)
    return sock.getsockname()[1]
