"""A small deployment of real node processes, for the cases of this review.

The store is the project's stand-in (`tests/platform_standins.py`). Backend servers
and clients are small ones of this file. Everything runs on loopback addresses.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import platform_standins as standins

# The scripts start at the root of the repository.
ROOT = pathlib.Path.cwd()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.5
# Processes that end are started again after this time.
RESTART_DELAY_S = 0.3
# The settings of a deployment of the pages (`fleetbench wire`), without what the
# node doesn't read.
SETTINGS = """\
self_node.node_name={name}
self_node.role=node
self_node.machine_class=sidecar
self_node.serves=sidecar
self_node.ip_address={host}
self_node.zone={zone}
self_node.region={region}
self_node.in_tolerance=false
self_node.bootstrap=true
self_node.limits.cpu_share=0.86
self_node.limits.cpu_cores=1
self_node.limits.memory_mb={memory_mb}
self_node.limits.file_descriptors=4100
self_node.limits.link_bandwidth_mbps=1000.0
self_node.limits.disk_mb=0
self_node.application_address={server}
self_node.service={service}
network.listen_addresses.inbound={host}:8145
network.listen_addresses.outbound={outbound}
network.listen_addresses.ready={ready}
network.listen_addresses.control={control}
network.internal_port_range=7660,7675
network.seeds=
platform.discovery=local
platform.entry=local
platform.heartbeat_interval_s=1.5
platform.platform.address={store}
platform.platform.form=objects
platform.platform.writes_per_s=400
platform.platform.reads_per_s=2000
platform.platform.history_s=20
platform.platform.value_bytes=1048576
terms.contracts={contracts}
terms.bounds.seed_lag_s=3
terms.bounds.address_reuse_s=2
terms.bounds.stability_window_s=3
terms.bounds.ack_s=4
terms.bounds.catch_up_s=4
terms.bounds.drain_s=2.5
terms.bounds.grace_period_s=6
terms.bounds.loss_slack_s=0.2
terms.bounds.config_apply_s=2.5
terms.bounds.downgrade_slack_s=0.25
terms.bounds.max_stretch_s=5
terms.bounds.retry_budget_ratio=0.2
terms.bounds.budget_window_s=10
terms.bounds.retry_budget_slack=56
terms.bounds.exposure_share=0.1
terms.bounds.exposure_slack=50
terms.bounds.rollback_s=5
terms.bounds.recovery_s=15
{more_bounds}"""

_NUMBERS = itertools.count(1)
_HOSTS = itertools.count(1)


def make_host():
    """Returns a loopback host that no other run uses."""
    pid = os.getpid()
    return f"127.{200 + pid % 50}.{pid // 50 % 250}.{next(_HOSTS)}"


def make_id():
    return f"{os.getpid():08x}{next(_NUMBERS):08x}"


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._start = time.monotonic()

    def write(self, *words):
        line = f"{time.monotonic() - self._start:8.3f} " + " ".join(
            str(word) for word in words
        )
        self._file.write(line + "\n")
        self._file.flush()
        return line

    def close(self):
        self._file.close()


class Message:
    """A request or a response that was read."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start.split()[1])


async def read_message(reader, has_length_only=False):
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return Message(start, headers, body)


class Server:
    """A backend server: announces itself, and runs each request once.

    Attributes:
      runs: Ids of the requests that it has begun to run, with times.
      slots: Requests that it runs at a time; further ones wait.
    """

    def __init__(self, lab, machine, service, version="v1", slots=12, work_s=0.3):
        self.lab = lab
        self.machine = machine
        self.instance = f"i-{machine.name}-{next(_NUMBERS)}"
        self.service = service
        self.version = version
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.requests = {}
        self.call = None
        # Bytes that it sends late on a connection: share of its complete answers
        # that they follow, and the bytes. They go out when the next request comes.
        self.late_share = 0.0
        self.late_bytes = b""
        # Whether it goes on with a request whose connection was closed.
        self.patient = False
        # Whether the run of a request will fail; called when it begins.
        self.fails = lambda: False
        # The server is slow until this time after its start.
        self.cold_s = 0.0
        self.started_at = time.monotonic()
        self.beats = True
        self.extra_headers = {}
        self._free = asyncio.Semaphore(slots)
        self._listener = None
        self._tasks = []
        self._writers = set()

    async def start(self):
        host, port = self.machine.server.rsplit(":", 1)
        self._listener = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20, backlog=512
        )
        self._tasks.append(asyncio.create_task(self._beat()))

    def stop(self):
        for task in self._tasks:
            task.cancel()
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self):
        while True:
            if self.beats:
                with contextlib.suppress(
                    OSError, EOFError, asyncio.IncompleteReadError
                ):
                    async with asyncio.timeout(1.0):
                        await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def announce(self, state=None):
        return await self.tell("instances.heartbeat", self.make_beat(state))

    def make_beat(self, state=None):
        """Returns the body of the next check-in."""
        self.sequence += 1
        return {
            "address": self.machine.server,
            "born": self.born,
            "information": {
                "service": self.service,
                "version": self.version,
                "zone": self.machine.zone,
                "slots": self.slots,
            },
            "status": {
                "state": state or self.state,
                "sequence": self.sequence,
                "cold_remaining_s": max(
                    0.0, self.started_at + self.cold_s - time.monotonic()
                ),
            },
        }

    async def deregister(self):
        return await self.tell("instances.deregister", {"born": self.born})

    async def tell(self, call, body):
        answer = await exchange(
            self.machine.control,
            "POST",
            f"/-/rpc?call={call}&of={self.instance}",
            {"Host": "control", "Content-Type": "application/json"},
            json.dumps(body).encode(),
        )
        return answer.status

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        owes_bytes = False
        try:
            while True:
                request = await read_message(reader)
                await self._run(request, reader, writer, owes_bytes)
                owes_bytes = random.random() < self.late_share
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # The case has ended.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _work(self, request, duration_s):
        """Works on a request; returns whether the call that it needs succeeded."""
        await asyncio.sleep(duration_s)
        return self.call is None or await self.call(request)

    async def _run(self, request, reader, writer, owes_bytes):
        method, target, _ = request.start.split()
        request_id = request.headers.get("x-request-id", "")
        if request.headers.get("x-expected-instance") != self.instance:
            writer.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            return
        async with self._free:
            self.runs.append((time.monotonic(), request_id))
            self.requests[request_id] = request
            self.lab.record.write(
                "run", request_id, "at", self.instance, self.version, method,
                target, "body", len(request.body),
                "tenant", request.headers.get("x-tenant", "-"),
            )
            if owes_bytes:
                self.lab.record.write("late bytes before the answer to", request_id)
                writer.write(self.late_bytes)
            fails = self.fails()
            is_cold = time.monotonic() < self.started_at + self.cold_s
            work = asyncio.create_task(
                self._work(request, self.work_s * (2 if is_cold else 1))
            )
            closed = asyncio.create_task(reader.read(1))
            try:
                await asyncio.wait(
                    {work, closed}, return_when=asyncio.FIRST_COMPLETED
                )
                if not work.done() and not self.patient:
                    self.lab.record.write("dropped", request_id)
                    raise EOFError
                failed = not await work
            finally:
                work.cancel()
                closed.cancel()
                await asyncio.wait({work, closed})
        status = 500 if failed or fails else 200
        body = b"ran " + request_id.encode()
        lines = [
            f"HTTP/1.1 {status} X",
            f"X-Request-Id: {request_id}",
            f"X-Server-Stamp: {self.instance}.{request_id}",
            f"Content-Length: {len(body)}",
            "Keep-Alive: timeout=10",
            *(f"{name}: {value}" for name, value in self.extra_headers.items()),
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Machine:
    """A machine: a node process, restarted when it ends, and a server."""

    def __init__(self, lab, name, service, zone="z-a", region="north", memory_mb=150):
        self.lab = lab
        self.name = name
        self.service = service
        self.zone = zone
        self.region = region
        self.memory_mb = memory_mb
        self.host = make_host()
        self.outbound = f"{self.host}:8141"
        self.ready = f"{self.host}:8140"
        self.control = f"{self.host}:8146"
        self.server = f"{self.host}:8147"
        self.store = lab.store.address
        self.process = None
        self.peak_mb = 0.0
        self.ends = []
        self.backend = None

    def start_node(self):
        path = self.lab.folder / f"{self.name}.conf"
        path.write_text(
            SETTINGS.format(
                name=self.name, host=self.host, zone=self.zone,
                region=self.region, memory_mb=self.memory_mb,
                server=self.server, service=self.service,
                outbound=self.outbound, ready=self.ready, control=self.control,
                store=self.store, contracts=self.lab.contracts,
                more_bounds=self.lab.more_bounds,
            )
        )
        log = (self.lab.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "-S", "-OO", "-m", "lycheestair.platform"],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "LYCHEESTAIR_SETTINGS": str(path),
            },
        )

    def read_memory_mb(self):
        """Returns the resident memory in MB (10^6 bytes), 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        if "VmRSS:" not in text:
            return 0.0
        return int(text.partition("VmRSS:")[2].split()[0]) * 1024 / 1e6

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        try:
            answer = await exchange(
                self.ready, "GET", "/-/readiness", {"Host": "ready"}
            )
        except (OSError, EOFError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def request(
        self, method, path, body=b"", deadline_ms=3000, host="shop.example",
        request_id=None, key=None,
    ):
        """Sends a request from this machine on a new connection.

        Returns:
          The answer, None if the connection ended without one.
        """
        request_id = request_id or make_id()
        record = self.lab.record
        record.write(
            "sent", request_id, "to", self.name, method, path, "body", len(body),
            "key", key or "-",
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                headers = {
                    "Host": host,
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": deadline_ms,
                }
                if key is not None:
                    headers["Authorization"] = f"Token {key}"
                answer = await exchange(
                    self.outbound, method, path, headers, body, self.host
                )
        except (OSError, EOFError, asyncio.IncompleteReadError) as error:
            record.write("no-answer", request_id, repr(error))
            return None
        record.write("answered", request_id, answer.status, answer.headers.get("x-server-stamp", "-"))
        return answer


async def exchange(address, method, target, headers, body=b"", source=None):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(
        host, int(port), limit=1 << 20,
        local_addr=None if source is None else (source, 0),
    )
    try:
        head = [f"{method} {target} HTTP/1.1"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        if body or method in ("POST", "PUT"):
            head.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        if body:
            writer.write(body)
        return await read_message(reader)
    finally:
        writer.transport.abort()


class Lab:
    """A store and machines."""

    def __init__(self, case_folder, contracts="base,drain,config,cost,retry,recover,rollout,platform", more_bounds=""):
        self.case_folder = pathlib.Path(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review2-"))
        self.record = Record(case_folder)
        self.contracts = contracts
        self.more_bounds = more_bounds
        self.store = standins.PlatformStore(f"{make_host()}:8142")
        self.machines = []
        self.watches_memory = False
        self.ends = []
        self._tasks = []
        self._restarts = True

    async def start(self):
        await self.store.start()
        self._tasks.append(asyncio.create_task(self._supervise()))

    def add(self, *arguments, **options):
        machine = Machine(self, *arguments, **options)
        self.machines.append(machine)
        return machine

    async def add_server(self, machine, **options):
        server = Server(self, machine, machine.service, **options)
        machine.backend = server
        await server.start()
        return server

    async def _supervise(self):
        """Restarts processes that ended, as the platform does."""
        while True:
            for machine in self.machines:
                process = machine.process
                if process is None:
                    continue
                memory_mb = machine.read_memory_mb()
                machine.peak_mb = max(machine.peak_mb, memory_mb)
                if process.poll() is not None and self._restarts:
                    line = self.record.write("ended", machine.name, "status", process.returncode)
                    self.ends.append(line)
                    machine.process = None
                    self._tasks.append(
                        asyncio.create_task(self._restart(machine))
                    )
            await asyncio.sleep(0.005)

    async def _restart(self, machine):
        await asyncio.sleep(RESTART_DELAY_S)
        if self._restarts:
            machine.start_node()

    async def wait_ready(self, timeout_s=20.0):
        until = time.monotonic() + timeout_s
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > until:
                    raise TimeoutError(f"{machine.name} is not ready")
                await asyncio.sleep(0.05)

    async def stop(self):
        self._restarts = False
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            if machine.backend is not None:
                machine.backend.stop()
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        self.store.stop()
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_config(version, rules, max_body_bytes=67108864, tenants=None, services=()):
    """Returns a configuration; rules are (name, kind, prefix, service, timeout_s)."""
    config = {
        "version": f"r{version}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": max_body_bytes,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "listeners": [
            {
                "host": "shop.example",
                "routing_rules": [
                    {
                        "name": name,
                        "kind": kind,
                        "target_latency_s": 0.8,
                        "priority": 1,
                        "match": {"path_prefix": prefix},
                        "action": {
                            "service": service,
                            "timeout_s": timeout_s,
                            "max_attempts": 2,
                        },
                    }
                    for name, kind, prefix, service, timeout_s in rules
                ],
            }
        ],
        "clusters": [
            {
                "name": service,
                "health_check_path": "/health",
                "connection_limit": 110,
                "protocol": "h1",
                "tls": False,
            }
            for service in sorted({*services, *(rule[3] for rule in rules)})
        ],
    }
    if tenants is not None:
        config["tenants"] = tenants
    return config


def main(run, folder):
    """Runs a case; the exit status tells whether the rule held."""

    async def go():
        lab = Lab(folder)
        try:
            await lab.start()
            return await run(lab)
        finally:
            await lab.stop()

    try:
        async def bounded():
            async with asyncio.timeout(115):
                return await go()

        broken = asyncio.run(bounded())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
