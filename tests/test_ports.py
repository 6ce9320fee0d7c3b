"""Ports that tests reserve for the servers of a fleet."""

from concurrent import futures
import contextlib
import os
import socket

import grpc
import ports
import pytest

from lycheestair import control


@pytest.mark.parametrize("host", ["127.0.0.1", "127.0.0.2"])
def test_a_found_port_is_not_given_to_another_socket(host):
    port = ports.reserve_port()

    with (
        contextlib.closing(socket.socket()) as other,
        pytest.raises(OSError, match="in use"),
    ):
        other.bind((host, port))


def test_a_server_can_bind_a_found_port():
    port = ports.reserve_port()
    server = grpc.server(
        futures.ThreadPoolExecutor(1), options=control.CHANNEL_OPTIONS
    )

    assert server.add_insecure_port(f"127.0.0.1:{port}") == port

    server.start()
    server.stop(0).wait()


def test_reserved_ports_take_a_bounded_number_of_descriptors():
    for _ in range(2 * ports.MAX_RESERVED):
        ports.reserve_port()
    before = len(os.listdir("/proc/self/fd"))
    for _ in range(2 * ports.MAX_RESERVED):
        ports.reserve_port()
    assert len(os.listdir("/proc/self/fd")) <= before


def test_found_ports_differ():
    assert len({ports.reserve_port() for _ in range(64)}) == 64
