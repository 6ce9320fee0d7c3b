"""Stand-in for a backend server.

Responds with the request ID and a digest of the request body, records the start
and end of each request in a journal, sends heartbeats to its node, and injects
faults.
"""

import http.client
import itertools
import os
import random
import signal
import threading
import time
from typing import Any
from typing import Final
from urllib import parse

from cheroot import server
import fire
import orjson
import xxhash

HEARTBEAT_INTERVAL_S: Final = 1.0
DRAIN_TIMEOUT_S: Final = 30.0
SIGNAL_POLL_INTERVAL_S: Final = 0.2
THREAD_COUNT: Final = 64
REQUEST_ID_HEADER: Final = b"X-Lycheestair-Request-Id"
CONTEXT_HEADER: Final = b"X-Lycheestair-Context"
FAULTS: Final = ("none", "error", "slow", "delayed", "load", "route", "crash")


class BackendState:
    """Options, state and journal of the stand-in.

    Args:
      service: Name of the service.
      version: Name of the version.
      address: Address to listen on, "IP:port".
      node: Address of the node's local listener, "IP:port"; empty for no node.
      caller: Address of the node's caller listener, for calls to other
        services.
      slots: Number of concurrent requests that the endpoint announces.
      start_ms: Delay in milliseconds before the first heartbeat.
      work_ms: Time in milliseconds that a request takes.
      fault: Fault to inject, one of FAULTS. "error" fails requests, "slow"
        makes them take ten times as long, "delayed" fails them once the process
        has run for `fault_after_s`, "load" fails them while more than half of
        the slots are in use, "route" fails paths that start with `fault_route`,
        "crash" kills the process on a body that contains `crash_body`.
      fault_percent: Percentage of requests that fail under "error", "delayed",
        "load" and "route".
      fault_after_s: Time in seconds from the start of the process after which
        "delayed" applies.
      fault_route: Path prefix to which "route" applies.
      crash_body: Part of the body to which "crash" applies.
      journal: Path of the journal, a JSON Lines file; empty for none.
      lookup: Path that each request fetches through the caller listener; empty
        for none.
      seed: Seed for the choice of the requests that fail.
    """

    def __init__(
        self,
        service: str,
        version: str,
        address: str,
        node: str = "",
        caller: str = "",
        slots: int = 6,
        start_ms: float = 0,
        work_ms: float = 5,
        fault: str = "none",
        fault_percent: float = 100,
        fault_after_s: float = 5,
        fault_route: str = "/",
        crash_body: str = "crash",
        journal: str = "",
        lookup: str = "",
        seed: int = 0,
    ):
        if fault not in FAULTS:
            raise ValueError(f"fault must be one of {FAULTS}")
        self.endpoint = {
            "service": service,
            "version": version,
            "address": address,
            "slots": slots,
            "started_ms": int(time.time() * 1000),
        }
        self.address = address
        self.node = node
        self.caller = caller
        self.slots = slots
        self.start_ms = start_ms
        self.work_ms = work_ms
        self.fault = fault
        self.fault_percent = fault_percent
        self.fault_after_s = fault_after_s
        self.fault_route = fault_route
        self.crash_body = crash_body.encode()
        self.lookup = lookup
        self.started_at = time.monotonic()
        self.running_count = 0
        self.running_changed = threading.Condition()
        self.draining = threading.Event()
        self.run_numbers = itertools.count()
        self.random = random.Random(seed)
        # Each line is appended by a single write, so that a killed process
        # leaves no partial line.
        self.journal_fd = (
            os.open(journal, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
            if journal
            else -1
        )

    def write_journal(self, event: str, run_number: int, **fields: Any) -> None:
        """Appends an event to the journal, if there is one."""
        if self.journal_fd < 0:
            return
        line = orjson.dumps(
            {
                "event": event,
                "run": run_number,
                "pid": os.getpid(),
                "version": self.endpoint["version"],
                "at": time.time(),
                **fields,
            }
        )
        os.write(self.journal_fd, line + b"\n")

    def should_fail(self, path: str) -> bool:
        """Returns whether the injected fault fails a request."""
        age_s = time.monotonic() - self.started_at
        applies = (
            self.fault == "error"
            or (self.fault == "delayed" and age_s > self.fault_after_s)
            or (self.fault == "load" and self.running_count > self.slots / 2)
            or (self.fault == "route" and path.startswith(self.fault_route))
        )
        return applies and self.random.random() * 100 < self.fault_percent

    def send_endpoint(self, method: str, timeout_s: float) -> None:
        """Announces the endpoint to the node (PUT) or withdraws it (DELETE)."""
        connection = http.client.HTTPConnection(self.node, timeout=timeout_s)
        try:
            connection.request(method, "/endpoint", orjson.dumps(self.endpoint))
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            pass  # The node may be restarting; heartbeats are repeated.
        finally:
            connection.close()

    def send_heartbeats(self) -> None:
        """Announces the endpoint periodically until draining starts."""
        if self.draining.wait(self.start_ms / 1000):
            return
        while self.node:
            self.send_endpoint("PUT", HEARTBEAT_INTERVAL_S)
            if self.draining.wait(HEARTBEAT_INTERVAL_S):
                return

    def drain(self) -> None:
        """Withdraws the endpoint and waits until no request is running."""
        self.draining.set()
        if self.node:
            self.send_endpoint("DELETE", DRAIN_TIMEOUT_S)
        with self.running_changed:
            self.running_changed.wait_for(
                lambda: not self.running_count, DRAIN_TIMEOUT_S
            )

    def fetch_lookup(self, context: bytes) -> int:
        """Fetches the lookup path through the node and returns the status."""
        connection = http.client.HTTPConnection(self.caller, timeout=10)
        try:
            headers = (
                {CONTEXT_HEADER.decode(): context.decode()} if context else {}
            )
            connection.request("GET", self.lookup, headers=headers)
            response = connection.getresponse()
            response.read()
            return response.status
        finally:
            connection.close()


class BackendServer(server.HTTPServer):
    """HTTP server of the stand-in."""

    request_queue_size = 128
    keep_alive_conn_limit = 1_000
    timeout = 60
    backend: BackendState


class BackendGateway(server.Gateway):
    """Runs a request."""

    def respond(self) -> None:
        """Implements cheroot's gateway."""
        request = self.req
        backend: BackendState = request.server.backend
        run_number = next(backend.run_numbers)
        path = parse.unquote(request.path.decode("latin-1"))
        body = request.rfile.read()
        if path == "/fault":
            # Fault experiments change the injected fault at run time.
            backend.fault = body.decode()
            self._send_response(200, {"id": ""})
            return
        request_id = request.inheaders.get(REQUEST_ID_HEADER, b"").decode()
        backend.write_journal(
            "start",
            run_number,
            id=request_id,
            key=request.inheaders.get(b"Idempotency-Key", b"").decode(),
            path=path,
            body=xxhash.xxh3_64_hexdigest(body),
        )
        with backend.running_changed:
            backend.running_count += 1
        try:
            status, document = self._run_request(backend, path, body)
        finally:
            with backend.running_changed:
                backend.running_count -= 1
                backend.running_changed.notify_all()
        backend.write_journal("end", run_number, id=request_id, status=status)
        self._send_response(
            status, {"id": request_id, "path": path, **document}
        )

    def _run_request(
        self, backend: BackendState, path: str, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if backend.fault == "crash" and backend.crash_body in body:
            os.kill(os.getpid(), signal.SIGKILL)
        work_s = backend.work_ms / 1000
        time.sleep(work_s * 10 if backend.fault == "slow" else work_s)
        if backend.should_fail(path):
            return 500, {"error": "fault"}
        document: dict[str, Any] = {
            "digest": xxhash.xxh3_64_hexdigest(body),
            "version": backend.endpoint["version"],
            "address": backend.address,
            "depth": self.req.inheaders.get(
                b"X-Lycheestair-Depth", b""
            ).decode(),
        }
        if backend.lookup:
            context = self.req.inheaders.get(CONTEXT_HEADER, b"")
            document["lookup"] = backend.fetch_lookup(context)
        return 200, document

    def _send_response(self, status: int, document: dict[str, Any]) -> None:
        body = orjson.dumps(document)
        request = self.req
        request.status = f"{status} -".encode()
        request.outheaders = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(body)).encode()),
            (REQUEST_ID_HEADER, document["id"].encode()),
        ]
        request.ensure_headers_sent()
        request.write(body)


def serve(**arguments: Any) -> None:
    """Serves requests until SIGTERM; takes the arguments of BackendState."""
    backend = BackendState(**arguments)
    host, _, port = backend.address.rpartition(":")
    http_server = BackendServer(
        (host, int(port)), BackendGateway, minthreads=THREAD_COUNT
    )
    http_server.backend = backend
    http_server.prepare()
    terminated = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: terminated.set())
    threading.Thread(target=http_server.serve, daemon=True).start()
    threading.Thread(target=backend.send_heartbeats, daemon=True).start()
    # Python runs signal handlers in the main thread only. If another thread
    # receives the signal, the handler runs when the main thread wakes up, so
    # the wait has a short timeout.
    while not terminated.wait(SIGNAL_POLL_INTERVAL_S):
        pass
    backend.drain()
    http_server.stop()


def main() -> None:
    """Runs the command line."""
    fire.Fire(serve)


if __name__ == "__main__":
    main()
