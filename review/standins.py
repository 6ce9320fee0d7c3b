"""Stand-ins for the platform of a small deployment, on loopback addresses.

The store, the workers and the clients run in the process of a script; the nodes
are started as separate processes with the command of deploy/system.toml. Only the
standard library is used.
"""

import asyncio
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
HOST = "shop.example"
HEARTBEAT_S = 1.5
BOUNDS = {
    "stability_window_s": 3,
    "ack_s": 4,
    "drain_s": 2.5,
    "grace_period_s": 6,
    "config_apply_s": 2.5,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 58,
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "rollback_s": 5,
}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


class Unusable(Exception):
    """The case can't run here."""


class Closed(Exception):
    """The connection ended before the message did."""


class Record:
    """Times are seconds since the start; written to record.txt."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.lines = []
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.lines.append(f"{self.now():8.3f} {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


# HTTP.


async def read_message(reader):
    """Returns the start line, the headers and the body."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head[:-4].decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Closed from error
    return start, headers, body


def encode(start, headers, body=b"", with_length=True):
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    if with_length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def encode_answer(status, headers=(), body=b""):
    reason = REASONS.get(status, "Status")
    return encode(f"HTTP/1.1 {status} {reason}", headers, body)


async def call(address, method, path, headers=(), body=b"", timeout_s=5.0):
    """Sends a request on a new connection; returns status, headers and body."""
    host, port = address.rsplit(":", 1)
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            with_length = bool(body) or method in ("POST", "PUT")
            writer.write(
                encode(f"{method} {path} HTTP/1.1", headers, body, with_length)
            )
            start, answer_headers, answer_body = await read_message(reader)
            return int(start.split()[1]), answer_headers, answer_body
        finally:
            writer.close()


# The store.


class Store:
    """The platform's store: objects by kind and name, watches, conditions."""

    def __init__(self, host):
        self.address = f"{host}:{free_port(host)}"
        self.revision = 10
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.server = None

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def put(self, kind, name, specification):
        """Writes an object as the operator does."""
        known = self.objects.get((kind, name))
        self.revision += 1
        created = (
            known["metadata"]["creation_revision"] if known else self.revision
        )
        self._store(
            kind,
            {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "creation_revision": created,
                    "finalizers": [],
                    "delete_requested": False,
                },
                "specification": specification,
                "status": known["status"] if known else None,
            },
        )

    def status(self, kind, name):
        known = self.objects.get((kind, name))
        return (known or {}).get("status") or {}

    def _store(self, kind, document, deleted=False):
        key = (kind, document["metadata"]["name"])
        if deleted:
            del self.objects[key]
        else:
            self.objects[key] = document
        self.events.append((self.revision, kind, document, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                start, _, body = await read_message(reader)
                method, target, _ = start.split()
                status, document = await self._handle(method, target, body)
                await asyncio.sleep(0.004)
                writer.write(
                    encode_answer(
                        status,
                        [("Content-Type", "application/json")],
                        json.dumps(document).encode(),
                    )
                )
        except (Closed, OSError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, target, body):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        parts = path.removeprefix("/-/objects/").split("/")
        kind = parts[0]
        name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else ""
        if method == "GET" and not name:
            if "watch" in fields:
                return await self._watch(kind, fields)
            items = [
                document
                for (found, _), document in sorted(self.objects.items())
                if found == kind
            ]
            return 200, {"items": items, "has_more": False, "at": self.revision}
        document = json.loads(body) if body else {}
        if method == "POST":
            name = document["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            self.put(kind, name, document["specification"])
            return 200, self.objects[kind, name]
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        expected = document.get("metadata", {}).get("revision") or int(
            fields.get("revision", 0)
        )
        if expected and expected != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.revision += 1
            self._store(kind, known, deleted=True)
            return 200, {}
        field = "status" if parts[-1] == "status" else "specification"
        if known[field] != document[field]:
            self.revision += 1
            metadata = {**known["metadata"], "revision": self.revision}
            self._store(
                kind, {**known, "metadata": metadata, field: document[field]}
            )
        return 200, self.objects[kind, name]

    async def _watch(self, kind, fields):
        since = int(fields["watch"])
        end = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000
        while True:
            events = [
                {"object": document, "deleted": deleted}
                for revision, found, document, deleted in self.events
                if found == kind and revision > since
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            changed = self.changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass


def make_config(version, services, timeout_s=2.0, max_attempts=2):
    """Two routes a service: /view-S/ is safe, /order-S/ is unsafe."""
    rules = [
        {
            "name": f"{name}-{service}",
            "kind": kind,
            "target_latency_s": 0.6,
            "priority": priority,
            "match": {"path_prefix": f"/{name}-{service}/"},
            "action": {
                "service": service,
                "timeout_s": timeout_s,
                "max_attempts": max_attempts,
            },
        }
        for service in services
        for name, kind, priority in (("view", "safe", 2), ("order", "unsafe", 1))
    ]
    return {
        "version": f"r{version}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_s": 5,
            "idle_timeout_s": 30,
        },
        "listeners": [{"host": HOST, "routing_rules": rules}],
        "clusters": [
            {
                "name": service,
                "health_check_path": "/health",
                "connection_limit": 110,
                "protocol": "h1",
                "tls": False,
            }
            for service in services
        ],
    }


# Workers.


class Worker:
    """A worker: sends check-ins to its node and runs requests.

    Attributes:
      work: Coroutine function that runs a request and returns the status of the
        answer; None breaks off the connection.
      runs: Time, id and path of each run.
      leaving: Whether its answers say that it is leaving.
    """

    def __init__(self, machine, name, service, version="v1"):
        self.machine = machine
        self.record = machine.world.record
        self.id = name
        self.service = service
        self.version = version
        self.slots = 9
        self.queue = 36
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.leaving = False
        self.runs = []
        self.work = self._work
        self.busy = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.server = None
        self.beats = None
        self.writers = set()

    async def start(self):
        host, port = self.machine.application.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.beats = asyncio.create_task(self._send_beats())

    def stop(self):
        """Ends the worker as a crash or an exit does."""
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def make_beat(self):
        self.sequence += 1
        return json.dumps(
            {
                "address": self.machine.application,
                "born": self.born,
                "information": {
                    "service": self.service,
                    "version": self.version,
                    "zone": self.machine.zone,
                    "slots": self.slots,
                },
                "status": {
                    "state": self.state,
                    "sequence": self.sequence,
                    "cold_remaining_s": 0,
                },
            }
        ).encode()

    async def send(self, name, body):
        """Returns whether the node acknowledged a call within a second."""
        try:
            status, _, _ = await call(
                self.machine.control,
                "POST",
                f"/-/rpc?call=instances.{name}&of={self.id}",
                [("Host", "control"), ("Content-Type", "application/json")],
                body,
                1.0,
            )
        except (OSError, Closed):
            return False
        return 200 <= status < 300

    async def _send_beats(self):
        while True:
            acked = await self.send("heartbeat", self.make_beat())
            await asyncio.sleep(HEARTBEAT_S if acked else 0.5)

    def make_extra_headers(self):
        """Returns more headers of an answer."""
        return []

    async def _work(self, request_id, path):
        await asyncio.sleep(0.05)
        return 200

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, path, _ = start.split()
                if not await self._answer(
                    reader, writer, method, path, headers, body
                ):
                    return
        except (Closed, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, reader, writer, method, path, headers, body):
        request_id = headers.get("x-request-id")
        if path == "/health":
            writer.write(
                encode_answer(
                    200 if self.state == "ready" else 503,
                    [("X-Instance-Id", self.id)],
                )
            )
            return True
        answer = [("X-Request-Id", request_id or "")]
        expected = headers.get("x-expected-instance")
        if expected not in (None, self.id):
            writer.write(encode_answer(421, [*answer, ("X-Not-Executed", "1")]))
            return True
        if request_id is None:
            writer.write(encode_answer(400, [("X-Not-Executed", "1")]))
            return True
        if self.busy >= self.slots and self.waiting >= self.queue:
            writer.write(encode_answer(503, [*answer, ("X-Not-Executed", "1")]))
            return True
        self.waiting += 1
        async with self.free:
            await self.free.wait_for(lambda: self.busy < self.slots)
            self.busy += 1
        self.waiting -= 1
        self.runs.append((self.record.now(), request_id, path))
        self.record.add(f"run {request_id} {path} at {self.id} {self.version}")
        left_s = int(headers.get("x-deadline-ms", "30000")) / 1000
        status = None
        work = asyncio.create_task(self.work(request_id, path))
        gone = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait(
                {work, gone},
                timeout=left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if work.done():
                status = work.result()
            elif not gone.done():
                status = 504
        finally:
            work.cancel()
            if not gone.done():
                gone.cancel()
                try:
                    await gone
                except asyncio.CancelledError:
                    pass
            async with self.free:
                self.busy -= 1
                self.free.notify()
        if status is None:
            self.record.add(f"broken off {request_id} at {self.id}")
            writer.transport.abort()
            return False
        self.record.add(f"ran {request_id} at {self.id}: {status}")
        if self.leaving:
            answer.append(("Server-Leaving", "1"))
        answer += self.make_extra_headers()
        writer.write(
            encode_answer(
                status,
                [
                    *answer,
                    ("X-Server-Stamp", f"{self.id}.{request_id}"),
                    ("X-Server-Load", f"{self.busy},{self.waiting},{self.slots}"),
                    ("Keep-Alive", "timeout=10"),
                ],
                f"{request_id} done by {self.id}".encode(),
            )
        )
        return True


# Machines.


def free_port(host):
    """Returns a port of which this one and the next are free on a host."""
    for _ in range(200):
        with socket.socket() as first, socket.socket() as second:
            first.bind((host, 0))
            port = first.getsockname()[1]
            try:
                second.bind((host, port + 1))
            except OSError:
                continue
            return port
    raise Unusable("no free ports")


def find_ports(host):
    """Returns the ports of a machine; the last is the first of two."""
    ports = []
    while len(ports) < 6:
        port = free_port(host)
        if not any(abs(port - other) <= 1 for other in ports):
            ports.append(port)
    return ports


class Machine:
    """A machine with a worker and the process of the system beside it."""

    def __init__(self, world, name, zone, region, service):
        self.world = world
        self.name = name
        self.zone = zone
        self.region = region
        self.service = service
        self.host = world.new_host()
        ready, control, inbound, outbound, application, internal = find_ports(
            self.host
        )
        self.ready = f"{self.host}:{ready}"
        self.control = f"{self.host}:{control}"
        self.inbound = f"{self.host}:{inbound}"
        self.outbound = f"{self.host}:{outbound}"
        self.application = f"{self.host}:{application}"
        self.internal = internal
        self.process = None
        self.log = (world.folder / f"{name}.log").open("ab")
        self.worker = None
        self.is_ready = False

    def write_settings(self):
        fields = {
            "self_node.node_name": self.name,
            "self_node.role": "node",
            "self_node.machine_class": "sidecar",
            "self_node.serves": "sidecar",
            "self_node.ip_address": self.host,
            "self_node.zone": self.zone,
            "self_node.region": self.region,
            "self_node.in_tolerance": "false",
            "self_node.bootstrap": "true",
            "self_node.limits.cpu_share": 0.86,
            "self_node.limits.cpu_cores": 1,
            "self_node.limits.memory_mb": 300,
            "self_node.limits.file_descriptors": 4100,
            "self_node.limits.link_bandwidth_mbps": 1000.0,
            "self_node.limits.disk_mb": 0,
            "self_node.application_address": self.application,
            "self_node.service": self.service,
            "network.listen_addresses.inbound": self.inbound,
            "network.listen_addresses.outbound": self.outbound,
            "network.listen_addresses.ready": self.ready,
            "network.listen_addresses.control": self.control,
            "network.internal_port_range": f"{self.internal},{self.internal + 1}",
            "network.seeds": "",
            "platform.discovery": "local",
            "platform.entry": "local",
            "platform.heartbeat_interval_s": HEARTBEAT_S,
            "platform.platform.address": self.world.store.address,
            "platform.platform.form": "objects",
            "platform.platform.writes_per_s": 400,
            "platform.platform.reads_per_s": 2000,
            "platform.platform.history_s": 20,
            "platform.platform.value_bytes": 1048576,
            "terms.contracts": "base,drain,config,cost,retry,recover,rollout,platform",
            "terms.fault_tolerance.machines": 1,
        }
        fields |= {f"terms.bounds.{name}": v for name, v in BOUNDS.items()}
        path = self.world.folder / f"{self.name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        return path

    def start_process(self):
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(DEPS)
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["LYCHEESTAIR_SETTINGS"] = str(self.write_settings())
        self.process = subprocess.Popen(
            "python3 -S -OO -m lycheestair.platform".split(),
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.world.record.add(f"process of {self.name} started")

    def kill_process(self):
        self.process.kill()
        self.process.wait()
        self.is_ready = False
        self.world.record.add(f"process of {self.name} killed")

    async def check_ready(self):
        try:
            status, _, _ = await call(
                self.ready, "GET", "/-/readiness", [("Host", "r")], b"", 1.0
            )
        except (OSError, Closed):
            return False
        return status == 200


class World:
    """The whole deployment."""

    def __init__(self, folder):
        if not (DEPS / "lycheestair").is_dir():
            raise Unusable("target/deps is missing: run deploy/build.sh")
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._hosts = itertools.count(1)
        self._ids = itertools.count(1)
        self.store = Store(self.new_host())
        self.machines = []

    def new_host(self):
        process = os.getpid()
        return f"127.{64 + process % 128}.{process // 128 % 250}.{next(self._hosts)}"

    def new_id(self):
        return f"{next(self._ids):016x}"

    def add(self, name, zone, region, service, version="v1"):
        machine = Machine(self, name, zone, region, service)
        machine.worker = Worker(machine, f"i-{name}", service, version)
        self.machines.append(machine)
        return machine

    async def start_machine(self, machine):
        machine.start_process()
        await machine.worker.start()

    async def wait_ready(self, machines, timeout_s=20.0):
        """Waits until the machines are ready, as the platform asks them."""
        end = time.monotonic() + timeout_s
        for machine in machines:
            while not await machine.check_ready():
                if time.monotonic() > end:
                    raise Unusable(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
            machine.is_ready = True
            self.record.add(f"{machine.name} ready")

    async def request(
        self, machine, path, method="GET", body=b"", deadline_ms=4000
    ):
        """A client's request; returns id, status (0: closed) and stamp."""
        request_id = self.new_id()
        self.record.add(f"sent {request_id} {path} to {machine.name}")
        try:
            status, headers, _ = await call(
                machine.outbound,
                method,
                path,
                [
                    ("Host", HOST),
                    ("X-Request-Id", request_id),
                    ("X-Deadline-Ms", str(deadline_ms)),
                ],
                body,
                deadline_ms / 1000,
            )
        except (OSError, Closed, ValueError):
            status, headers = 0, {}
        stamp = headers.get("x-server-stamp", "")
        self.record.add(
            f"answered {request_id} {status or 'no answer'} {stamp or 'no stamp'}"
        )
        return request_id, status, stamp

    def close(self):
        for machine in self.machines:
            machine.worker.stop()
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGKILL)
                machine.process.wait()
            machine.log.close()
        self.record.write()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(run):
    """Runs a case: run(world) returns what broke the rule, "" if it held."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    try:
        world = World(folder)
    except Unusable as error:
        print(f"could not run: {error}")
        sys.exit(2)

    async def play():
        try:
            await world.store.start()
            async with asyncio.timeout(115):
                return await run(world)
        finally:
            world.close()

    try:
        broken = asyncio.run(play())
    except Exception as error:
        # An error of the script itself says nothing about the rule.
        if not isinstance(error, Unusable):
            traceback.print_exc()
        print(f"could not run: {error!r}")
        sys.exit(2)
    print(f"rule broken: {broken}" if broken else "rule held")
    sys.exit(1 if broken else 0)
