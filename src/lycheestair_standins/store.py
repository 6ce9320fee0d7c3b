"""Stand-in for the platform's object API.

Serves HTTP requests: objects with resource versions, conditional writes,
watches, paging and rate limits. A PUT to `/faults` sets the faults to inject.
"""

import collections
import dataclasses
import sys
import threading
import time
from typing import Any
from typing import Final
import urllib.parse

from cheroot import server
import orjson

MAX_VALUE_BYTES: Final = 1_048_576
HISTORY_LENGTH: Final = 1_000
WRITES_PER_S: Final = 400.0
READS_PER_S: Final = 2_000.0


@dataclasses.dataclass
class Faults:
    """Faults that are currently injected.

    Attributes:
      down: Whether all calls fail with status 503.
      delay_ms: Delay in milliseconds of each call.
      lose_answers: Number of next writes that get no response, although they
        are applied.
      stale: Whether reads of single objects return the previous value.
      watch_expired: Whether running watches end and new ones fail with status
        410, as if their version was too old.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    stale: bool = False
    watch_expired: bool = False


class RateLimiter:
    """Token bucket that permits bursts of one second's tokens."""

    def __init__(self, rate_per_s: float):
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._updated_at = time.monotonic()

    def try_acquire(self) -> bool:
        """Takes a token if there is one; returns whether it did."""
        now = time.monotonic()
        self._tokens = min(
            self._rate_per_s,
            self._tokens + (now - self._updated_at) * self._rate_per_s,
        )
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class ObjectTable:
    """Objects, their versions and the most recent writes."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.faults = Faults()
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.write_limiter = RateLimiter(WRITES_PER_S)
        self.read_limiter = RateLimiter(READS_PER_S)
        self.latest_version = 0
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.previous_objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: collections.deque[tuple[str, dict[str, Any]]] = (
            collections.deque(maxlen=HISTORY_LENGTH)
        )

    def put(
        self, kind: str, name: str, expected_version: int, value: Any
    ) -> tuple[int, dict[str, Any]]:
        """Writes an object if its stored version is the expected one.

        Returns:
          The status of the response and its body.
        """
        with self.changed:
            current = self.objects.get((kind, name))
            if (
                current["resource_version"] if current else 0
            ) != expected_version:
                return 409, {"current": current}
            self.latest_version += 1
            stored = {
                "name": name,
                "resource_version": self.latest_version,
                "value": value,
                "at": time.time(),
            }
            if current:
                self.previous_objects[kind, name] = current
            self.objects[kind, name] = stored
            self.history.append((kind, stored))
            self.changed.notify_all()
            return 200, {"resource_version": self.latest_version}

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns an object, or its previous value if reads are stale."""
        with self.changed:
            if self.faults.stale and (kind, name) in self.previous_objects:
                return self.previous_objects[kind, name]
            return self.objects.get((kind, name))

    def list_page(
        self, kind: str, after: str, limit: int
    ) -> tuple[list[dict[str, Any]], str]:
        """Returns a page sorted by name, and the name to continue after."""
        with self.changed:
            names = sorted(
                name
                for stored_kind, name in self.objects
                if stored_kind == kind and name > after
            )
            page = [self.objects[kind, name] for name in names[:limit]]
        return page, names[limit - 1] if len(names) > limit else ""

    def wait_for_events(
        self, kind: str, after: int, timeout_s: float
    ) -> tuple[int, list[dict[str, Any]]]:
        """Waits for a write of any kind after a version, or for the timeout.

        Returns:
          The latest version and the writes of the kind after the given version.
        """
        with self.changed:
            self.changed.wait_for(
                lambda: self.latest_version > after, timeout_s
            )
            return self.latest_version, [
                stored
                for stored_kind, stored in self.history
                if stored_kind == kind and stored["resource_version"] > after
            ]

    def find_oldest_version(self) -> int:
        """Returns the oldest version from which a watch can start."""
        with self.changed:
            if len(self.history) < HISTORY_LENGTH:
                return 0
            return int(self.history[0][1]["resource_version"]) - 1


class StoreServer(server.HTTPServer):
    """HTTP server of the object API."""

    nodelay = True

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.table = ObjectTable()


class StoreGateway(server.Gateway):
    """Handles a call of the object API."""

    def respond(self) -> None:
        """Implements cheroot's gateway."""
        request = self.req
        table: ObjectTable = request.server.table
        path = urllib.parse.unquote(request.path.decode()).strip("/")
        query = dict(urllib.parse.parse_qsl(request.qs.decode()))
        method = request.method.decode()
        body = request.rfile.read() if method == "PUT" else b""
        if path == "faults":
            table.faults = Faults(**orjson.loads(body))
            self._send_response(200, {})
            return
        if path.startswith("history/"):
            kind = path.removeprefix("history/")
            self._send_response(
                200,
                [
                    stored
                    for stored_kind, stored in list(table.history)
                    if stored_kind == kind
                ],
            )
            return
        if path == "counts":
            self._send_response(200, dict(table.call_counts))
            return
        faults = table.faults
        if faults.delay_ms:
            time.sleep(faults.delay_ms / 1000)
        if faults.down:
            self._send_response(503, {})
            return
        limiter = (
            table.write_limiter
            if method in ("PUT", "DELETE")
            else table.read_limiter
        )
        kind, _, name = path.removeprefix("v1/").partition("/")
        table.call_counts[f"{method} {kind}"] += 1
        if not limiter.try_acquire():
            table.call_counts["429"] += 1
            self._send_response(429, {}, (b"Retry-After", b"0.2"))
            return
        self._dispatch(table, method, (kind, name), query, body)

    def _dispatch(
        self,
        table: ObjectTable,
        method: str,
        target: tuple[str, str],
        query: dict[str, str],
        body: bytes,
    ) -> None:
        kind, name = target
        if method == "PUT":
            self._put(table, kind, name, body)
        elif method == "DELETE":
            with table.changed:
                table.objects.pop((kind, name), None)
            self._send_response(200, {})
        elif "watch" in query:
            self._watch(table, kind, query)
        elif name:
            stored = table.get(kind, name)
            self._send_response(200 if stored else 404, stored or {})
        else:
            items, continue_after = table.list_page(
                kind, query.get("continue", ""), int(query.get("limit", "200"))
            )
            self._send_response(
                200, {"items": items, "continue": continue_after}
            )

    def _put(
        self, table: ObjectTable, kind: str, name: str, body: bytes
    ) -> None:
        if len(body) > MAX_VALUE_BYTES:
            self._send_response(413, {})
            return
        document = orjson.loads(body)
        status, response = table.put(
            kind, name, document["resource_version"], document["value"]
        )
        if table.faults.lose_answers > 0:
            table.faults.lose_answers -= 1
            self.req.close_connection = True
            self.req.conn.socket.shutdown(2)
            return
        self._send_response(status, response)

    def _watch(
        self, table: ObjectTable, kind: str, query: dict[str, str]
    ) -> None:
        after = int(query["resource_version"])
        if table.faults.watch_expired or after < table.find_oldest_version():
            self._send_response(410, {})
            return
        request = self.req
        request.status = b"200 OK"
        request.outheaders = [(b"Content-Type", b"application/x-ndjson")]
        request.chunked_write = True
        request.close_connection = True
        request.outheaders.append((b"Transfer-Encoding", b"chunked"))
        request.ensure_headers_sent()
        end = time.monotonic() + float(query.get("timeout_s", "30"))
        while time.monotonic() < end and not (
            table.faults.down or table.faults.watch_expired
        ):
            after, events = table.wait_for_events(kind, after, 0.25)
            for event in events:
                request.write(orjson.dumps(event) + b"\n")

    def _send_response(
        self, status: int, document: Any, *headers: tuple[bytes, bytes]
    ) -> None:
        body = orjson.dumps(document)
        request = self.req
        request.status = f"{status} -".encode()
        request.outheaders = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(body)).encode()),
            *headers,
        ]
        request.ensure_headers_sent()
        request.write(body)


def main() -> None:
    """Serves the object API on the address given as the only argument."""
    host, _, port = sys.argv[1].rpartition(":")
    http_server = StoreServer(
        (host, int(port)), StoreGateway, minthreads=64, maxthreads=256
    )
    try:
        http_server.safe_start()
    finally:
        http_server.stop()


if __name__ == "__main__":
    main()
