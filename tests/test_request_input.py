"""Guards the listeners against bad input: 4xx, bounded, no effect on others."""

import json
import socket
import time

import pytest
import request_support as support

from lycheestair import http_server

GOOD = b"POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
HEAD = b"POST /read HTTP/1.1\r\nHost: a\r\n"
MAX_BODY = 4_096

# What is wrong, the bytes, and the error kind expected.
MALFORMED = [
    ("no host", b"GET /read HTTP/1.1\r\n\r\n", "bad_request"),
    ("two hosts", HEAD + b"Host: b\r\n\r\n", "bad_request"),
    ("host syntax", b"GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", "bad_request"),
    ("method", b"g\x00t / HTTP/1.1\r\nHost: a\r\n\r\n", "bad_request"),
    ("absolute", b"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", "bad_request"),
    ("connect", b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", "bad_request"),
    ("version", b"GET / HTTP/3.0\r\nHost: a\r\n\r\n", "bad_request"),
    ("space in name", HEAD + b"X : 1\r\n\r\n", "bad_request"),
    ("folded header", HEAD + b"X: 1\r\n 2\r\n\r\n", "bad_request"),
    ("bare line feed", HEAD + b"X: 1\nY: 2\r\n\r\n", "bad_request"),
    ("NUL in value", HEAD + b"X: \x00\r\n\r\n", "bad_request"),
    (
        "two lengths",
        HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "bad_request",
    ),
    (
        "length and chunked",
        HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "bad_request",
    ),
    ("signed length", HEAD + b"Content-Length: +2\r\n\r\nab", "bad_request"),
    ("coding", HEAD + b"Transfer-Encoding: gzip\r\n\r\n", "bad_request"),
    (
        "chunk size",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n",
        "bad_request",
    ),
    (
        "chunk without end",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nabXX0\r\n\r\n",
        "bad_request",
    ),
    ("expectation", HEAD + b"Expect: magic\r\n\r\n", "bad_request"),
    ("long target", b"GET /" + b"a" * 20_000, "bad_request"),
    ("many headers", HEAD + b"X: 1\r\n" * 4_000 + b"\r\n", "bad_request"),
    ("long header", HEAD + b"X: " + b"a" * 20_000, "bad_request"),
    (
        "large body",
        HEAD + b"Content-Length: %d\r\n\r\n" % (MAX_BODY + 1),
        "body_too_large",
    ),
    (
        "large chunks",
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"400\r\n" * 1
        + b"a" * 1_024
        + b"\r\nffffff\r\n",
        "body_too_large",
    ),
]

# Whole requests that are refused without ending their connection.
REFUSED = [
    ("/elsewhere", {}, 404, "no_route"),
    ("/reader", {}, 404, "no_route"),
    ("/read/../write", {}, 400, "bad_request"),
    ("/read/%2e%2e/write", {}, 400, "bad_request"),
    ("/read", {"X-Lycheestair-Depth": "1"}, 400, "internal_header"),
    ("/read", {"x-lycheestair-deadline-ms": "9"}, 400, "internal_header"),
    ("/read", {"X-Lycheestair-Context": "0" * 32}, 400, "internal_header"),
    ("/read", {"X-LYCHEESTAIR-FLAGS": "s"}, 400, "internal_header"),
]


@pytest.fixture(scope="module")
def cluster():
    with support.Cluster(max_body_bytes=MAX_BODY) as cluster:
        cluster.nodes[0].serve(support.answer)
        yield cluster


def assert_others_are_served(cluster):
    node = cluster.nodes[0]
    answer = support.call(node.caller, "POST", "/read", "ok")
    assert (answer.status, answer.data) == (200, b"ok")
    assert node.data_plane._serving.admission.load == 0


@pytest.mark.parametrize(
    ("data", "kind"),
    [case[1:] for case in MALFORMED],
    ids=[case[0] for case in MALFORMED],
)
@pytest.mark.parametrize("listener", ["caller", "peer", "local"])
def test_malformed_request_is_refused_without_running(
    cluster, listener, data, kind
):
    node = cluster.nodes[0]
    runs = len(node.server.seen)
    received = support.send_raw(getattr(node, listener), data)
    head, _, body = received.partition(b"\r\n\r\n")
    assert b" 4" in head.split(b"\r\n")[0]
    assert b"connection: close" in head
    assert json.loads(body)["error"] == kind
    assert json.loads(body)["execution"] == "not-run"
    assert len(node.server.seen) == runs
    assert_others_are_served(cluster)


@pytest.mark.parametrize(("target", "headers", "status", "kind"), REFUSED)
def test_refusal_names_its_kind_and_not_run(
    cluster, target, headers, status, kind
):
    node = cluster.nodes[0]
    runs = len(node.server.seen)
    response = support.call(node.caller, "GET", target, headers=headers)
    assert response.status == status
    assert support.read_error(response) == (kind, "not-run")
    assert len(node.server.seen) == runs


def test_request_behind_a_refused_one_is_not_taken_for_a_new_one(cluster):
    """Guards against request smuggling through the rest of a bad message."""
    node = cluster.nodes[0]
    runs = len(node.server.seen)
    data = HEAD + b"Content-Length: 1\r\nContent-Length: 0\r\n\r\n" + GOOD
    assert support.send_raw(node.caller, data).count(b"HTTP/1.1 ") == 1
    assert len(node.server.seen) == runs


def test_pipelined_requests_are_answered_in_order(cluster):
    data = GOOD + GOOD.replace(b"ok", b"no").replace(
        b"Host: a", b"Host: a\r\nConnection: close"
    )
    received = support.send_raw(cluster.nodes[0].caller, data)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.find(b"ok") < received.find(b"no")


def test_slow_sender_is_refused_and_holds_nobody_else(cluster, monkeypatch):
    """One byte at a time must not keep a thread for longer than the limit."""
    monkeypatch.setattr(http_server, "RECEIVE_TIMEOUT_S", 0.5)
    host, _, port = cluster.nodes[0].caller.rpartition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(b"POST /read HTTP/1.1\r\n")
        connection.setblocking(False)
        received = b""
        end = time.monotonic() + support.WAIT_S
        while not received.startswith(b"HTTP/1.1 400"):
            assert time.monotonic() < end
            try:
                connection.sendall(b"X")
                received += connection.recv(1_024)
            except BlockingIOError:
                time.sleep(0.01)
    assert_others_are_served(cluster)


def test_connections_over_the_limit_are_refused():
    with support.Cluster(max_connections=3) as cluster:
        node = cluster.nodes[0]
        node.serve(support.answer)
        host, _, port = node.caller.rpartition(":")
        held = [socket.create_connection((host, int(port))) for _ in range(3)]
        support.wait_until(
            lambda: len(node.data_plane._caller._open_connections) == 3
        )
        received = support.send_raw(node.caller, b"")
        assert b"503" in received
        assert b"overloaded" in received
        held.pop().close()
        support.wait_until(
            lambda: len(node.data_plane._caller._open_connections) < 3
        )
        assert_others_are_served(cluster)
        for connection in held:
            connection.close()


@pytest.mark.parametrize(
    "body",
    [
        "",
        "[]",
        "{",
        '{"service": "s"}',
        '{"service": "s", "version": "v", "address": "x:1", "slots": 1}',
        '{"service": "s", "version": "v", "address": "127.0.0.1:0",'
        ' "slots": 1}',
        '{"service": "s", "version": "v", "address": "127.0.0.1:9",'
        ' "slots": 0}',
    ],
)
def test_wrong_announcement_changes_nothing(cluster, body):
    node = cluster.nodes[0]
    response = support.call(node.local, "PUT", "/endpoint", body)
    assert response.status == 400
    assert_others_are_served(cluster)
