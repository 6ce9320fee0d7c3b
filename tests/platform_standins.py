"""Stand-ins for the platform's object store and backend servers."""

import asyncio
import collections
import dataclasses
import functools
import time
import urllib.parse

import orjson

from lycheestair import messages
from lycheestair.sidecar import http1
from lycheestair.sidecar import streams

PAGE_SIZE = 3
MAX_EVENTS = 200
STAMP_HEADER = b"x-server-stamp"
HEALTH_PATH = b"/health"


def make_config(version, routes, idle_s=15):
    """Returns a configuration with routes (name, prefix, kind, split)."""
    return {
        "version": f"r{version}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_s": 3,
            "idle_timeout_s": idle_s,
        },
        "listeners": [
            {
                "host": "shop.example",
                "routing_rules": [
                    {
                        "name": name,
                        "kind": kind,
                        "target_latency_s": 0.5,
                        "priority": 1,
                        "match": {"path_prefix": prefix},
                        "action": {
                            "traffic_split": [
                                {"service": service, "weight": weight}
                                for service, weight in split
                            ],
                            "timeout_s": 1.5,
                            "max_attempts": 2,
                        },
                    }
                    for name, prefix, kind, split in routes
                ],
            }
        ],
        "clusters": [
            {
                "name": service,
                "health_check_path": HEALTH_PATH.decode(),
                "connection_limit": 50,
                "protocol": "h1",
                "tls": False,
            }
            for service in sorted(
                {service for route in routes for service, _ in route[3]}
            )
        ],
    }


@dataclasses.dataclass
class StoreFaults:
    """Faults that are currently injected into the store.

    Attributes:
      unresponsive: Whether requests get no response.
      unanswered_writes: Number of next writes that succeed without a response.
      delayed_writes: Number of next writes that get no response and are applied
        after write_delay_s seconds.
      rate_limited: Whether all requests are refused with status 429.
    """

    down: bool = False
    unresponsive: bool = False
    unanswered_writes: int = 0
    delayed_writes: int = 0
    write_delay_s: float = 1.0
    rate_limited: bool = False


@dataclasses.dataclass
class GateFaults:
    """How the store turns away the callers of one address.

    Attributes:
      how: None, "silent", "reset", "busy" (503) or "many" (429).
      calls: Number of calls, also of those that were turned away.
    """

    how: str | None = None
    calls: int = 0


class PlatformStore:
    """The platform's object store, as its documentation describes it."""

    def __init__(self, address):
        self.address = address
        self.faults = StoreFaults()
        self.calls = collections.Counter()
        self.revision = 10
        self.era = 3
        self.objects = {}
        self.events = collections.deque(maxlen=MAX_EVENTS)
        self.oldest_revision = 10
        self._changed = asyncio.Event()
        self._listener = None
        self._gates = []

    async def start(self):
        self._listener = await streams.listen(self.address, self._serve)

    def stop(self):
        self._listener.close()
        for gate in self._gates:
            gate.close()

    async def open_gate(self, address):
        """Opens another address of the store, which can turn callers away.

        Returns:
          The faults of this address.
        """
        faults = GateFaults()
        self._gates.append(
            await streams.listen(
                address, functools.partial(self._serve, gate=faults)
            )
        )
        return faults

    # Operations of the operator.

    def put(self, kind, name, value):
        key = (kind, name)
        known = self.objects.get(key)
        self.revision += 1
        self._apply_change(
            kind,
            {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "creation_revision": known["metadata"]["creation_revision"]
                    if known
                    else self.revision,
                    "finalizers": [],
                    "delete_requested": False,
                },
                "specification": value,
                "status": known["status"] if known else None,
            },
        )

    def compact(self):
        """Discards the history, so that older watches can't continue."""
        self.events.clear()
        self.oldest_revision = self.revision
        self._notify_watches()

    def copy(self):
        """Returns a copy of the content, see `restore`."""
        return self.revision, dict(self.objects)

    def restore(self, copy):
        """Returns to an earlier content; revisions are given out again."""
        self.revision, objects = copy
        self.objects = dict(objects)
        self.era += 1
        self.compact()

    def read_status(self, kind, name):
        return self.objects[kind, name]["status"]

    def _apply_change(self, kind, document, deleted=False):
        key = (kind, document["metadata"]["name"])
        if deleted:
            self.objects.pop(key, None)
        else:
            self.objects[key] = document
        self.events.append((self.revision, kind, document, deleted))
        self._notify_watches()

    def _notify_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    # Requests of the nodes.

    async def _serve(self, stream, gate=None):
        gate = gate or GateFaults()
        try:
            while True:
                request = await http1.read_request(stream, 16384, 2_000_000)
                self.calls[request.method.decode()] += 1
                gate.calls += 1
                if self.faults.unresponsive or gate.how == "silent":
                    await asyncio.sleep(30)
                    return
                if gate.how == "reset":
                    stream.abort()
                    return
                if request.method != b"GET" and self.faults.delayed_writes:
                    self.faults.delayed_writes -= 1
                    await asyncio.sleep(self.faults.write_delay_s)
                    await self._handle_request(request)
                    return
                status, document = await self._handle_request(request)
                if gate.how == "silent":
                    # A watch that was waiting gets no answer either.
                    await asyncio.sleep(30)
                    return
                if gate.how is not None:
                    status = 429 if gate.how == "many" else 503
                    document = {"error": "turned away"}
                if (
                    request.method != b"GET"
                    and self.faults.unanswered_writes
                    and status < 300
                ):
                    self.faults.unanswered_writes -= 1
                    return
                stream.write(
                    http1.encode_response(
                        http1.Response(
                            status,
                            [(b"store-era", b"%d" % self.era)],
                            orjson.dumps(document),
                        ),
                        request.method,
                        True,
                    )
                )
        except (OSError, messages.IncompleteMessageError):
            return

    async def _handle_request(self, request):
        if self.faults.down:
            return 503, {"error": "down"}
        if self.faults.rate_limited:
            return 429, {"error": "too many calls"}
        path, _, query = request.target.decode().partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        kind, _, rest = path.removeprefix("/-/objects/").partition("/")
        name, _, part = rest.partition("/")
        if request.method == b"GET" and not name:
            if "watch" in fields:
                return await self._watch(kind, fields)
            return 200, self._list(kind, fields.get("after", ""))
        document = orjson.loads(request.body) if request.body else {}
        if request.method == b"POST":
            name = document["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            self.put(kind, name, document["specification"])
            return 200, self.objects[kind, name]
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {"error": "not found"}
        if request.method == b"GET":
            return 200, known
        revision = document.get("metadata", {}).get(
            "revision", int(fields.get("revision", 0))
        )
        if revision and revision != known["metadata"]["revision"]:
            return 409, known
        if request.method == b"DELETE":
            self.revision += 1
            self._apply_change(kind, known, deleted=True)
            return 200, {}
        field_name = "status" if part == "status" else "specification"
        if known[field_name] != document[field_name]:
            self.revision += 1
            changed = {**known, field_name: document[field_name]}
            changed["metadata"] = {
                **known["metadata"],
                "revision": self.revision,
            }
            self._apply_change(kind, changed)
        return 200, self.objects[kind, name]

    def _list(self, kind, after):
        items = [
            document
            for (found, name), document in sorted(self.objects.items())
            if found == kind and name > after
        ]
        return {
            "items": items[:PAGE_SIZE],
            "has_more": len(items) > PAGE_SIZE,
            "at": self.revision,
        }

    async def _watch(self, kind, fields):
        since = int(fields["watch"])
        deadline = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000
        while True:
            if not self.oldest_revision <= since <= self.revision:
                return 410, {"error": "history is no longer available"}
            events = [
                {"object": document, "deleted": deleted}
                for revision, found, document, deleted in self.events
                if found == kind and revision > since
            ]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "at": self.revision}
            changed = self._changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                pass


@dataclasses.dataclass
class ReceivedRequest:
    """A request that a backend server received, and when."""

    request: http1.Request
    at: float


class BackendServer:
    """A backend server: sends heartbeats and runs requests.

    Attributes:
      cold_remaining_s: Remaining cold time that its heartbeats tell.
      work_s: Time in seconds that a request takes.
      received_requests: Requests received for this instance.
      cancelled_requests: Number of requests whose connection ended while they
        ran.
      extra_headers: Added to the responses.
      handler_override: Called with the request and the stream instead of
        running the request, None to run it.
      health_status: Status of the responses to health checks; None to take the
        state: 200 while the server is ready, and 503 once it has deregistered.
      health_checks: Number of health checks received.
    """

    def __init__(
        self, address, control, instance, service, version="v1", slots=4
    ):
        self.address = address
        self.control = control
        self.instance = instance
        self.service = service
        self.version = version
        self.slots = slots
        self.state = "ready"
        self.started_ms = 1_000
        self.cold_remaining_s = 0
        self.work_s = 0.01
        self.status = 200
        self.received_requests = []
        self.running = 0
        self.cancelled_requests = 0
        self.extra_headers = []
        self.handler_override = None
        self.health_status = None
        self.health_checks = 0
        # Start of the incarnation that deregistered last.
        self._deregistered_ms = None
        self._sequence = 0
        self._listener = None
        self._streams = set()

    @property
    def is_down(self):
        return self._listener is None or not self._listener.is_serving()

    async def start(self):
        self._listener = await streams.listen(self.address, self._serve)

    def stop(self):
        self._listener.close()

    def crash(self):
        """Ends the process, and with it all its connections."""
        self.stop()
        for stream in list(self._streams):
            stream.abort()

    async def restart(self):
        """Starts a new process under the same id."""
        await self.start()
        self.started_ms += 1_000
        self._sequence = 0
        await self.announce()

    async def announce(self, **changes):
        """Sends a heartbeat; returns the status of the response."""
        return await self.send_heartbeat(
            self.instance, self.encode_heartbeat(**changes)
        )

    async def send_heartbeat(self, instance, body):
        """Sends an encoded heartbeat, perhaps a delayed one."""
        return await self._call("instances.heartbeat", body, instance)

    def encode_heartbeat(self, **changes):
        """Returns the body of the next heartbeat."""
        self._sequence += 1
        body = {
            "address": self.address,
            "born": self.started_ms,
            "information": {
                "service": self.service,
                "version": self.version,
                "zone": "z",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "cold_remaining_s": self.cold_remaining_s,
            },
        }
        body.update(changes)
        return orjson.dumps(body)

    async def deregister(self, body=b""):
        self._deregistered_ms = self.started_ms
        return await self._call("instances.deregister", body, self.instance)

    async def _call(self, name, body, instance):
        response = await send(
            self.control,
            b"POST",
            f"/-/rpc?call={name}&of={instance}".encode(),
            [(b"host", b"control")],
            body,
        )
        return response.status

    async def _serve(self, stream):
        self._streams.add(stream)
        try:
            while True:
                request = await http1.read_request(stream, 16384, 2_000_000)
                await self._run(stream, request)
        except (OSError, messages.IncompleteMessageError):
            return
        finally:
            self._streams.discard(stream)

    async def _run(self, stream, request):
        expected = request.find_header(b"x-expected-instance")
        if expected is None and request.target == HEALTH_PATH:
            stream.write(self._encode_health(request))
            return
        if expected != self.instance.encode():
            stream.write(
                http1.encode_response(
                    http1.Response(421, [], b""), request.method, True
                )
            )
            return
        self.received_requests.append(
            ReceivedRequest(request, time.monotonic())
        )
        if self.handler_override is not None:
            await self.handler_override(request, stream)
            return
        self.running += 1
        work = asyncio.get_running_loop().create_task(
            asyncio.sleep(self.work_s)
        )

        def cancel_work():
            self.cancelled_requests += not work.done()
            work.cancel()

        stream.on_close = cancel_work
        try:
            await work
        except asyncio.CancelledError:
            raise messages.IncompleteMessageError(True) from None
        finally:
            stream.on_close = None
            self.running -= 1
        stream.write(self.encode(request))

    def _encode_health(self, request):
        self.health_checks += 1
        is_serving = (
            self.state == "ready" and self._deregistered_ms != self.started_ms
        )
        return http1.encode_response(
            http1.Response(
                self.health_status or (200 if is_serving else 503),
                [
                    (b"x-instance-id", self.instance.encode()),
                    *self.extra_headers,
                ],
                b"",
            ),
            request.method,
            True,
        )

    def encode(self, request, body=b"done", request_id=None):
        """Returns the encoded response to a request."""
        return http1.encode_response(
            http1.Response(
                self.status,
                [
                    (
                        b"x-request-id",
                        request_id or request.find_header(b"x-request-id"),
                    ),
                    (STAMP_HEADER, self.instance.encode()),
                    (b"keep-alive", b"timeout=10"),
                    *self.extra_headers,
                ],
                body,
            ),
            request.method,
            True,
        )


async def send(
    address, method, target, headers, body=b"", timeout_s=5.0, source=None
):
    """Sends a request on a new connection and returns the response."""
    if source is None:
        stream = await streams.connect(address, 1.0)
    else:
        _, stream = await asyncio.get_running_loop().create_connection(
            streams.Stream,
            *streams.split_address(address),
            local_addr=(source, 0),
        )
    try:
        stream.write(http1.encode_request(method, target, headers, body))
        async with asyncio.timeout(timeout_s):
            return await http1.read_response(stream, method)
    finally:
        stream.close()
