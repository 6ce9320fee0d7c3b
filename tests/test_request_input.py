"""Guards the listeners against invalid input.

Each case must get a 4xx response in bounded time and not affect other requests.
"""

import json
import socket
import time

import pytest
import request_support as support

from lycheestair import http_server

VALID_REQUEST = b"POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
REQUEST_HEAD = b"POST /read HTTP/1.1\r\nHost: a\r\n"
MAX_BODY_BYTES = 4_096

# Test id, bytes sent and expected error kind.
MALFORMED_REQUESTS = [
    ("no host", b"GET /read HTTP/1.1\r\n\r\n", "bad_request"),
    ("two hosts", REQUEST_HEAD + b"Host: b\r\n\r\n", "bad_request"),
    ("host syntax", b"GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", "bad_request"),
    ("method", b"g\x00t / HTTP/1.1\r\nHost: a\r\n\r\n", "bad_request"),
    ("absolute", b"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", "bad_request"),
    ("connect", b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", "bad_request"),
    ("version", b"GET / HTTP/3.0\r\nHost: a\r\n\r\n", "bad_request"),
    ("space in name", REQUEST_HEAD + b"X : 1\r\n\r\n", "bad_request"),
    ("folded header", REQUEST_HEAD + b"X: 1\r\n 2\r\n\r\n", "bad_request"),
    ("bare line feed", REQUEST_HEAD + b"X: 1\nY: 2\r\n\r\n", "bad_request"),
    ("NUL in value", REQUEST_HEAD + b"X: \x00\r\n\r\n", "bad_request"),
    (
        "two lengths",
        REQUEST_HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "bad_request",
    ),
    (
        "length and chunked",
        REQUEST_HEAD
        + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "bad_request",
    ),
    (
        "signed length",
        REQUEST_HEAD + b"Content-Length: +2\r\n\r\nab",
        "bad_request",
    ),
    (
        "coding",
        REQUEST_HEAD + b"Transfer-Encoding: gzip\r\n\r\n",
        "bad_request",
    ),
    (
        "chunk size",
        REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n",
        "bad_request",
    ),
    (
        "chunk without end",
        REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nabXX0\r\n\r\n",
        "bad_request",
    ),
    ("expectation", REQUEST_HEAD + b"Expect: magic\r\n\r\n", "bad_request"),
    ("long target", b"GET /" + b"a" * 20_000, "bad_request"),
    (
        "many headers",
        REQUEST_HEAD + b"X: 1\r\n" * 4_000 + b"\r\n",
        "bad_request",
    ),
    ("long header", REQUEST_HEAD + b"X: " + b"a" * 20_000, "bad_request"),
    (
        "large body",
        REQUEST_HEAD + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1),
        "body_too_large",
    ),
    (
        "large chunks",
        REQUEST_HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"400\r\n" * 1
        + b"a" * 1_024
        + b"\r\nffffff\r\n",
        "body_too_large",
    ),
]

# Well-formed requests that are refused without closing their connection:
# target, headers, expected status and error kind.
REFUSED_REQUESTS = [
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
    with support.Cluster(max_body_bytes=MAX_BODY_BYTES) as cluster:
        cluster.nodes[0].serve(support.make_response)
        yield cluster


def assert_valid_requests_are_served(cluster):
    node = cluster.nodes[0]
    response = support.call(node.caller, "POST", "/read", "ok")
    assert (response.status, response.data) == (200, b"ok")
    assert node.data_plane._serving_node.admission.load == 0


@pytest.mark.parametrize(
    ("data", "kind"),
    [case[1:] for case in MALFORMED_REQUESTS],
    ids=[case[0] for case in MALFORMED_REQUESTS],
)
@pytest.mark.parametrize("listener", ["caller", "peer", "local"])
def test_malformed_request_is_refused_without_running(
    cluster, listener, data, kind
):
    node = cluster.nodes[0]
    runs_before = len(node.server.received_requests)
    received = support.send_raw(getattr(node, listener), data)
    head, _, body = received.partition(b"\r\n\r\n")
    assert b" 4" in head.split(b"\r\n")[0]
    assert b"connection: close" in head
    assert json.loads(body)["error"] == kind
    assert json.loads(body)["execution"] == "not-run"
    assert len(node.server.received_requests) == runs_before
    assert_valid_requests_are_served(cluster)


@pytest.mark.parametrize(
    ("target", "headers", "status", "kind"), REFUSED_REQUESTS
)
def test_refusal_reports_its_kind_and_not_run(
    cluster, target, headers, status, kind
):
    node = cluster.nodes[0]
    runs_before = len(node.server.received_requests)
    response = support.call(node.caller, "GET", target, headers=headers)
    assert response.status == status
    assert support.read_error(response) == (kind, "not-run")
    assert len(node.server.received_requests) == runs_before


def test_bytes_after_a_refused_request_are_not_parsed_as_a_request(cluster):
    """Guards against request smuggling after an invalid request."""
    node = cluster.nodes[0]
    runs_before = len(node.server.received_requests)
    data = (
        REQUEST_HEAD
        + b"Content-Length: 1\r\nContent-Length: 0\r\n\r\n"
        + VALID_REQUEST
    )
    assert support.send_raw(node.caller, data).count(b"HTTP/1.1 ") == 1
    assert len(node.server.received_requests) == runs_before


def test_pipelined_requests_are_answered_in_order(cluster):
    data = VALID_REQUEST + VALID_REQUEST.replace(b"ok", b"no").replace(
        b"Host: a", b"Host: a\r\nConnection: close"
    )
    received = support.send_raw(cluster.nodes[0].caller, data)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.find(b"ok") < received.find(b"no")


def test_slow_sender_is_refused_and_does_not_block_others(cluster, monkeypatch):
    """Guards against a sender of single bytes occupying a thread."""
    monkeypatch.setattr(http_server, "RECEIVE_TIMEOUT_S", 0.5)
    host, _, port = cluster.nodes[0].caller.rpartition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(b"POST /read HTTP/1.1\r\n")
        connection.setblocking(False)
        received = b""
        deadline = time.monotonic() + support.WAIT_S
        while not received.startswith(b"HTTP/1.1 400"):
            assert time.monotonic() < deadline
            try:
                connection.sendall(b"X")
                received += connection.recv(1_024)
            except BlockingIOError:
                time.sleep(0.01)
    assert_valid_requests_are_served(cluster)


def test_connections_over_the_limit_are_refused():
    with support.Cluster(max_connections=3) as cluster:
        node = cluster.nodes[0]
        node.serve(support.make_response)
        host, _, port = node.caller.rpartition(":")
        connections = [
            socket.create_connection((host, int(port))) for _ in range(3)
        ]
        support.wait_until(
            lambda: len(node.data_plane._caller_listener._open_connections) == 3
        )
        received = support.send_raw(node.caller, b"")
        assert b"503" in received
        assert b"overloaded" in received
        connections.pop().close()
        support.wait_until(
            lambda: len(node.data_plane._caller_listener._open_connections) < 3
        )
        assert_valid_requests_are_served(cluster)
        for connection in connections:
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
def test_invalid_announcement_is_refused_without_effect(cluster, body):
    node = cluster.nodes[0]
    response = support.call(node.local, "PUT", "/endpoint", body)
    assert response.status == 400
    assert_valid_requests_are_served(cluster)
