"""Backend servers that send bytes that are no response, on the product's nodes."""

from concurrent import futures
import itertools
import statistics
import threading
import time

import pytest
import request_support as support

from lycheestair import forwarding

TIMEOUT_MS = 2_500
MAX_MEDIAN_S = 0.25
# Sent by a server before it notices that its connection is closed, and held in
# the buffers of the kernel.
KERNEL_BYTES = 8_000_000
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"transfer-encoding: chunked\r\n\r\n"


def send_slowly(request):
    for byte in support.make_response(request):
        yield bytes([byte])
        time.sleep(1.0)


def repeat(start, piece):
    return lambda request: itertools.chain([start], itertools.repeat(piece))


ANSWERS = {
    "head without end": repeat(HEAD + b"x-a: ", b"a" * 4096),
    "header lines without end": repeat(HEAD, b"x-a: b\r\n" * 512),
    "status line without end": repeat(b"HTTP/1.1 200 ", b"O" * 4096),
    "garbage without end": repeat(b"", b"\x00\xff" * 2048),
    "garbage before the status line": lambda request: [
        b"garbage\r\n" + support.make_response(request)
    ],
    "interim responses without end": repeat(
        b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 64
    ),
    "large chunks without end": repeat(
        CHUNKED_HEAD, b"10000\r\n" + b"a" * 0x10000 + b"\r\n"
    ),
    "small chunks without end": repeat(CHUNKED_HEAD, b"1\r\na\r\n" * 512),
    "chunk line without end": repeat(CHUNKED_HEAD + b"1;", b"a" * 4096),
    "trailers without end": repeat(
        CHUNKED_HEAD + b"0\r\n", b"x-a: b\r\n" * 512
    ),
    "body of a terabyte": repeat(
        HEAD + b"content-length: 1000000000000\r\n\r\n", b"a" * 65_536
    ),
    "one byte a second": send_slowly,
}


class Server:
    """Script of a backend server: /write gets the answer, /read a response."""

    def __init__(self, answer):
        self.answer = answer
        self.sent_bytes = 0
        self.ended = threading.Event()

    def __call__(self, request):
        if self.answer is None or not request.path.startswith("/write"):
            return support.make_response(request)
        return self.count(self.answer(request))

    def count(self, pieces):
        try:
            for piece in pieces:
                self.sent_bytes += len(piece)
                yield piece
        finally:
            self.ended.set()


@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("kind", ANSWERS)
def test_answer_without_end_harms_no_other_request(kind, kept):
    routes = support.make_default_routes(timeout_ms=TIMEOUT_MS)
    with support.Cluster(routes=routes) as cluster:
        node = cluster.nodes[0]
        server = Server(None)
        node.serve(server, slots=2)
        if kept:
            assert support.call(node.caller, "POST", "/write").status == 200
        server.answer = ANSWERS[kind]
        responses = []
        write = threading.Thread(
            target=lambda: responses.append(
                support.call(node.caller, "POST", "/write")
            )
        )
        started_at = time.monotonic()
        write.start()
        durations_s = []
        while write.is_alive():
            sent_at = time.monotonic()
            # The status tells that the read was answered before its deadline.
            assert support.call(node.caller, "GET", "/read").status == 200
            durations_s.append(time.monotonic() - sent_at)
        write.join()

        assert statistics.median(durations_s) < MAX_MEDIAN_S
        [response] = responses
        assert time.monotonic() - started_at < TIMEOUT_MS / 1000 + 1.0
        assert response.status in (502, 504)
        assert support.read_error(response)[1] == "unknown"
        # The connection is closed and both slots are free.
        assert server.ended.wait(5.0)
        assert server.sent_bytes < (
            forwarding.MAX_RESPONSE_BODY_BYTES * 2 + KERNEL_BYTES
        )
        server.answer = None
        for _ in range(3):
            response = support.call(node.caller, "POST", "/write")
            assert response.status == 200


def test_small_chunks_on_several_connections_delay_no_other_request():
    """Guards against decoding that takes the whole time of the process."""
    writers = 8
    routes = support.make_default_routes(timeout_ms=TIMEOUT_MS)
    with support.Cluster(routes=routes) as cluster:
        node = cluster.nodes[0]
        server = Server(ANSWERS["small chunks without end"])
        node.serve(server, slots=writers + 1)
        started_at = time.monotonic()
        with futures.ThreadPoolExecutor(writers) as executor:
            writes = [
                executor.submit(support.call, node.caller, "POST", "/write")
                for _ in range(writers)
            ]
            durations_s = []
            while not all(write.done() for write in writes):
                sent_at = time.monotonic()
                assert support.call(node.caller, "GET", "/read").status == 200
                durations_s.append(time.monotonic() - sent_at)
        assert time.monotonic() - started_at < TIMEOUT_MS / 1000 + 1.0
        assert {write.result().status for write in writes} <= {502, 504}
        assert statistics.median(durations_s) < MAX_MEDIAN_S
