"""Randomized soak test: node processes on loopback with injected faults.

Nodes run as processes, as on the platform. The store, the backend servers and
the clients are stand-ins in this process, and each node reaches the store
through a TCP proxy that can be cut. Faults overlap at random. The results that
clients and backend servers observe are checked during the run and once more
after all faults have ended.

To run it manually: python tests/soak.py --seeds 50 --first 1 --seconds 8
"""

import argparse
import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

import platform_standins as standins
import platform_world

from lycheestair import messages
from lycheestair.sidecar import http1
from lycheestair.sidecar import streams
from lycheestair_standins import relay

SOURCE = pathlib.Path(__file__).parent.parent / "src"
NODES = (
    ("n1", "desk", "a1"),
    ("n2", "desk", "a1"),
    ("n3", "press", "a1"),
    ("s1", "desk", "b1"),
    ("s2", "press", "b1"),
)
# Documented limits. A response arrives at most this long after the client's
# deadline.
RESPONSE_MARGIN_S = 0.5
# A draining backend server gets requests for at most this long.
DRAIN_S = 2.5
# All nodes serve requests with the latest configuration within this time after
# their start or after the last fault.
RECOVERY_S = 15.0
# Maximum time from SIGTERM to the exit of a node.
GRACE_S = 6.0
# Clients with the shorter deadline are not expected to retry, so nodes retry
# for them.
DEADLINES_MS = (700, 2_000)
HEARTBEAT_S = 1.5
# Timing and connection checks are skipped for requests within this time of a
# kill or pause of the node that received them.
DISTURBANCE_MARGIN_S = 3.0
# SIGHUP ends a process whose interpreter has not yet run the first line of the
# program, which no program can prevent; the platform restarts the process.
INTERPRETER_START_S = 0.5
# From this time after it first named a limit, a backend server gets in any span
# at most LIMIT_FACTOR times what the limit allows and LIMIT_SLACK requests, from
# nodes that were not disturbed since.
LIMIT_APPLIES_AFTER_S = 3.0
LIMIT_SPAN_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# A request that crashes the backend servers that run it reaches at most this many
# later than CRASHES_KNOWN_S after its third crash, from nodes that were not disturbed.
CRASHING_TARGET = b"/view/crash"
CRASHES_KNOWN_S = 3.0
MAX_LATE_ARRIVALS = 3
# The store knows the crashes this long after the last of them, or after its last
# fault.
STORE_KNOWS_S = 3.0
MAX_RSS_MB = 80.0
MAX_DESCRIPTORS = 300
CLIENTS_PER_NODE = 3


@dataclasses.dataclass
class SentRequest:
    """A request of a client and its outcome.

    Attributes:
      at_most_once: Whether the request must not run more than once.
      connection_lost: Whether the connection ended without a whole response.
    """

    id: bytes
    at_most_once: bool
    node: str
    at: float
    deadline_ms: int
    ended_at: float = 0.0
    status: int = 0
    connection_lost: bool = False


@dataclasses.dataclass
class LimitedTime:
    """A time during which a backend server named a limit."""

    backend_server: "FaultyBackendServer"
    limit_per_s: float
    start: float
    end: float


class CrashingRequest:
    """What is known of a request that crashes backend servers.

    Requests of different caller services are different ones, see PROTOCOL.md of the
    platform: it comes again "with the same path, caller and body".
    """

    def __init__(self):
        self.crashes = []
        # Time and entry node of each arrival.
        self.arrivals = []

    def forget(self):
        """Begins anew, when all nodes ended while the store was away."""
        self.crashes.clear()
        self.arrivals.clear()

    def list_late_arrivals(self, by_name):
        """Returns the arrivals at which all nodes had to know the crashes."""
        if len(self.crashes) < MAX_LATE_ARRIVALS:
            return []
        known_at = sorted(self.crashes)[2] + CRASHES_KNOWN_S
        return [
            (at, node)
            for at, node in self.arrivals
            if at > known_at and by_name[node].is_undisturbed(at, at)
        ]


class FaultyBackendServer(standins.BackendServer):
    """Backend server that injects faults and reports each run to the soak."""

    def __init__(self, soak, *arguments):
        super().__init__(*arguments)
        self.soak = soak
        self.fault = ""
        self.draining_since = float("inf")
        # Time and id of each request, also of those that it refuses.
        self.arrivals = []
        self.handler_override = self._run_with_fault

    async def _run_with_fault(self, request, stream):
        request_id = request.find_header(b"x-request-id")
        if request.target == CRASHING_TARGET:
            await self._crash(request_id)
            return
        self.arrivals.append((time.monotonic(), request_id))
        if self.fault == "shed" and self.soak.rng.random() < 0.5:
            stream.write(
                http1.encode_response(
                    http1.Response(503, [(b"x-not-executed", b"1")], b""),
                    request.method,
                    True,
                )
            )
            return
        now = time.monotonic()
        self.soak.record_run(request_id, self, now)
        await asyncio.sleep(self.soak.rng.uniform(0.002, 0.03))
        data = self.encode(request, body=b"ran " + request_id)
        if self.fault == "drop" and self.soak.rng.random() < 0.3:
            raise messages.IncompleteMessageError(True)
        if self.fault == "truncate" and self.soak.rng.random() < 0.3:
            stream.write(data[: len(data) // 2])
            raise messages.IncompleteMessageError(True)
        if self.fault == "duplicate" and self.soak.rng.random() < 0.3:
            stream.write(data)
        stream.write(data)

    async def _crash(self, request_id):
        entry = self.soak.crashing_entries[request_id]
        crashing = self.soak.crashing_requests[entry.service]
        crashing.arrivals.append((time.monotonic(), entry.name))
        await asyncio.sleep(self.soak.crash_rng.uniform(0.02, 0.4))
        if self.is_down or self.soak.closing:
            return
        crashing.crashes.append(time.monotonic())
        self.crash()
        await asyncio.sleep(self.soak.crash_rng.uniform(0.5, 2.5))
        self.started_ms = int(time.time() * 1000)
        self._sequence = 0
        await self.start()


class Instance(platform_world.Instance):
    """An instance whose node runs as a process."""

    def __init__(self, soak, name, service, zone):
        super().__init__(soak, name, service, zone=zone)
        self.soak = soak
        self.store_link = relay.Link(soak.store.address, 0.0)
        self.settings_path = soak.folder / f"{name}.conf"
        self.log_file = (soak.folder / f"{name}.log").open("ab")
        self.process = None
        self.exit_expected = False
        self.started_at = 0.0
        # Age of the process at its last SIGHUP.
        self.age_at_sighup_s = 0.0
        # Start and end of each time the process was killed or paused.
        self.disturbances = []
        self.starts = []
        self.backend_server = FaultyBackendServer(
            soak, f"{self.host}:8147", self.control, f"i-{name}", service
        )

    def start_process(self):
        self.settings_path.write_text(
            self.format_settings(self.store_link.address)
        )
        self.exit_expected = False
        self.started_at = time.monotonic()
        self.starts.append(self.started_at)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lycheestair.platform"],
            stdout=self.log_file,
            stderr=self.log_file,
            env={
                **os.environ,
                "PYTHONPATH": str(SOURCE),
                "LYCHEESTAIR_SETTINGS": str(self.settings_path),
            },
        )

    def record_disturbance(self, duration_s=0.0):
        now = time.monotonic()
        self.disturbances.append((now, now + duration_s))

    def is_undisturbed(self, start, end):
        """Whether no fault hit the process around an interval of time."""
        return not any(
            first < end + DISTURBANCE_MARGIN_S
            and last > start - DISTURBANCE_MARGIN_S
            for first, last in self.disturbances
        )

    def is_excused_from_limits(self, start, end):
        """Whether the process was started or disturbed within a time."""
        return any(start < at < end for at in self.starts) or any(
            first < end and last > start for first, last in self.disturbances
        )

    async def supervise(self):
        """Restarts the process whenever it ends, as the platform does."""
        while True:
            if self.process.poll() is not None and not self.soak.closing:
                status = self.process.poll()
                if not self.exit_expected and not (
                    status == -signal.SIGHUP
                    and self.age_at_sighup_s < INTERPRETER_START_S
                ):
                    self.soak.fail(
                        f"{self.name} exited unexpectedly: status {status}"
                    )
                await asyncio.sleep(self.soak.rng.uniform(0.1, 0.6))
                self.start_process()
            await asyncio.sleep(0.05)

    async def send_heartbeats(self):
        while True:
            if self.backend_server.is_down:
                await asyncio.sleep(0.05)
                continue
            try:
                async with asyncio.timeout(1.0):
                    status = await self.backend_server.announce()
                if self.backend_server.state == "draining" and status == 200:
                    self.backend_server.draining_since = min(
                        self.backend_server.draining_since, time.monotonic()
                    )
                pause_s = HEARTBEAT_S
            except (OSError, messages.IncompleteMessageError):
                pause_s = 0.2
            await asyncio.sleep(pause_s)

    async def replace_backend_server(self):
        """Drains the backend server, then starts a new one in its place.

        A heartbeat from before arrives meanwhile or later.
        """
        backend_server = self.backend_server
        delayed = asyncio.create_task(
            self._send_delayed_heartbeat(
                backend_server.instance,
                backend_server.encode_heartbeat(),
                self.soak.departure_rng.uniform(0.0, 8.0),
            )
        )
        backend_server.state = "draining"
        backend_server.extra_headers = []
        with contextlib.suppress(OSError, messages.IncompleteMessageError):
            async with asyncio.timeout(1.0):
                if await backend_server.announce() == 200:
                    backend_server.draining_since = time.monotonic()
        await asyncio.sleep(DRAIN_S + self.soak.departure_rng.uniform(0.5, 4.0))
        with contextlib.suppress(OSError, messages.IncompleteMessageError):
            async with asyncio.timeout(1.0):
                await backend_server.deregister()
        backend_server.instance = f"i-{self.name}-{time.monotonic_ns()}"
        backend_server.started_ms = int(time.time() * 1000)
        backend_server.draining_since = float("inf")
        backend_server.state = "ready"
        await delayed

    async def _send_delayed_heartbeat(self, instance, body, delay_s):
        await asyncio.sleep(delay_s)
        with contextlib.suppress(OSError, messages.IncompleteMessageError):
            async with asyncio.timeout(1.0):
                await self.backend_server.send_heartbeat(instance, body)

    def read_usage(self):
        """Returns the resident memory in MB and the open file descriptors."""
        pid = self.process.pid
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        rss_kb = int(status.partition("VmRSS:")[2].split()[0])
        return rss_kb / 1024, len(os.listdir(f"/proc/{pid}/fd"))


class Soak:
    """A soak run with one seed."""

    def __init__(self, seed, seconds, folder):
        self.rng = random.Random(seed)
        # Draws of its own, so that seeds keep their other faults.
        self.limit_rng = random.Random(f"limits {seed}")
        self.limited_times = []
        self.departure_rng = random.Random(f"departures {seed}")
        self.crash_rng = random.Random(f"crashes {seed}")
        # By the service of the entry node.
        self.crashing_requests = {
            service: CrashingRequest() for _, service, _ in NODES
        }
        # Entry nodes by request id.
        self.crashing_entries = {}
        self.store_faulty_at = 0.0
        self.seconds = seconds
        self.folder = folder
        self.store = standins.PlatformStore(platform_world.allocate_address())
        self.instances = []
        self.sent_requests = []
        self.runs = {}
        self.failures = []
        self.closing = False
        self.config_version = 7
        self.faults_until = 0.0

    def fail(self, text):
        self.failures.append(text)

    def record_run(self, request_id, backend_server, now):
        self.runs.setdefault(request_id, []).append((now, backend_server))
        if now > backend_server.draining_since + DRAIN_S:
            self.fail(
                f"{request_id} reached {backend_server.instance}"
                " after its drain period"
            )

    async def run(self):
        """Runs clients and faults; returns the failed checks."""
        await self.store.start()
        self._write_config()
        tasks = []
        try:
            for fields in NODES:
                instance = Instance(self, *fields)
                self.instances.append(instance)
                await instance.backend_server.start()
                instance.start_process()
            for instance in self.instances:
                tasks += [
                    asyncio.create_task(instance.supervise()),
                    asyncio.create_task(instance.send_heartbeats()),
                ]
            await self._wait_until_serving(RECOVERY_S)
            clients = [
                asyncio.create_task(self._send_requests(instance))
                for instance in self.instances
                for _ in range(CLIENTS_PER_NODE)
            ]
            others = [
                asyncio.create_task(work())
                for work in (
                    self._limit_backend_servers,
                    self._send_crashing_requests,
                    self._turn_most_nodes_away,
                )
            ]
            await self._inject_faults()
            await asyncio.gather(*others)
            await self._wait_until_serving(RECOVERY_S)
            self.closing = True
            await asyncio.gather(*clients)
            self._check_results()
        finally:
            self.closing = True
            for task in tasks:
                task.cancel()
            for instance in self.instances:
                instance.process.kill()
                instance.process.wait()
                instance.backend_server.stop()
                instance.store_link.close()
                instance.log_file.close()
            self.store.stop()
        return self.failures

    def _write_config(self):
        self.config_version += self.rng.randint(1, 4)
        name = f"v{self.config_version}"
        self.store.put(
            "config",
            "main",
            platform_world.make_config(
                self.config_version,
                [(name, f"/{name}/", "safe", [("desk", 1)])],
            ),
        )

    # Faults.

    async def _inject_faults(self):
        end = time.monotonic() + self.seconds
        fault_tasks = set()
        faults = (
            self._kill,
            self._terminate,
            self._pause,
            self._send_sighup,
            self._cut_store_link,
            self._inject_store_fault,
            self._inject_backend_server_fault,
            self._replace_backend_server,
            self._change_config,
            self._kill_all,
        )
        while time.monotonic() < end:
            task = asyncio.create_task(
                self.rng.choices(faults, (3, 3, 2, 1, 2, 3, 8, 2, 4, 1))[0]()
            )
            fault_tasks.add(task)
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))
        await asyncio.gather(*fault_tasks)
        self.faults_until = time.monotonic()

    def _pick_instance(self):
        return self.rng.choice(self.instances)

    async def _kill(self):
        instance = self._pick_instance()
        instance.record_disturbance()
        instance.exit_expected = True
        instance.process.kill()

    async def _kill_all(self):
        now = time.monotonic()
        for crashing in self.crashing_requests.values():
            latest = max([self.store_faulty_at, *crashing.crashes])
            if now - latest < STORE_KNOWS_S:
                crashing.forget()
        for instance in self.instances:
            instance.record_disturbance()
            instance.exit_expected = True
            instance.process.kill()

    async def _terminate(self):
        instance = self._pick_instance()
        process = instance.process
        instance.exit_expected = True
        process.terminate()
        await asyncio.sleep(GRACE_S)
        if process.poll() is None:
            self.fail(f"{instance.name} did not exit within its grace period")
            process.kill()

    async def _pause(self):
        instance = self._pick_instance()
        process = instance.process
        duration_s = self.rng.uniform(0.2, 2.0)
        instance.record_disturbance(duration_s)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        process.send_signal(signal.SIGCONT)

    async def _send_sighup(self):
        instance = self._pick_instance()
        instance.age_at_sighup_s = time.monotonic() - instance.started_at
        instance.process.send_signal(signal.SIGHUP)

    async def _cut_store_link(self):
        instance = self._pick_instance()
        instance.store_link.cut()
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        instance.store_link.heal()

    async def _inject_store_fault(self):
        kind = self.rng.choice(
            (
                "down",
                "unresponsive",
                "rate_limited",
                "unanswered_writes",
                "compact",
            )
        )
        if kind == "unanswered_writes":
            self.store.faults.unanswered_writes += 2
            return
        if kind == "compact":
            self.store.compact()
            return
        setattr(self.store.faults, kind, True)
        self.store_faulty_at = float("inf")
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        setattr(self.store.faults, kind, False)
        self.store_faulty_at = time.monotonic()

    async def _inject_backend_server_fault(self):
        backend_server = self._pick_instance().backend_server
        backend_server.fault = self.rng.choice(
            ("shed", "drop", "truncate", "duplicate")
        )
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        backend_server.fault = ""

    async def _replace_backend_server(self):
        instance = self._pick_instance()
        if instance.backend_server.state == "ready":
            await instance.replace_backend_server()

    async def _change_config(self):
        self._write_config()

    async def _send_crashing_requests(self):
        """Sends the crashing request to all nodes at once, in waves."""
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.crash_rng.uniform(1.5, 3.5))
            async with asyncio.TaskGroup() as group:
                for instance in self.instances:
                    for _ in range(self.crash_rng.randint(1, 2)):
                        group.create_task(self._send_crashing(instance))

    async def _send_crashing(self, instance):
        request_id = platform_world.make_id()
        self.crashing_entries[request_id] = instance
        await asyncio.sleep(self.crash_rng.uniform(0.0, 0.5))
        with contextlib.suppress(
            OSError,
            messages.IncompleteMessageError,
            messages.MalformedMessageError,
        ):
            await standins.send(
                instance.outbound,
                b"GET",
                CRASHING_TARGET,
                [
                    (b"host", b"shop.example"),
                    (b"x-request-id", request_id),
                    (b"x-deadline-ms", b"1000"),
                ],
            )

    async def _turn_most_nodes_away(self):
        """Lets one node alone reach the store while the configuration changes."""
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.crash_rng.uniform(2.0, 4.0))
            served = self.crash_rng.choice(self.instances)
            away = [i for i in self.instances if i is not served]
            for instance in away:
                instance.store_link.cut()
            self.store_faulty_at = time.monotonic()
            self._write_config()
            await asyncio.sleep(self.crash_rng.uniform(0.5, 3.0))
            for instance in away:
                instance.store_link.heal()
            self.store_faulty_at = time.monotonic()

    async def _limit_backend_servers(self):
        """Lets one backend server after the other name a limit."""
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            server = self.limit_rng.choice(self.instances).backend_server
            limit_per_s = round(self.limit_rng.uniform(0.5, 12.0), 1)
            header = [(b"server-limit", b"%.1f" % limit_per_s)]
            start = time.monotonic()
            limit_until = start + self.limit_rng.uniform(4.0, 8.0)
            server.extra_headers = header
            # Until then, or until the server is replaced.
            while (
                time.monotonic() < limit_until
                and server.extra_headers is header
            ):
                await asyncio.sleep(0.05)
            server.extra_headers = []
            self.limited_times.append(
                LimitedTime(server, limit_per_s, start, time.monotonic())
            )

    # Clients.

    async def _send_requests(self, instance):
        stream = None
        while not self.closing:
            sent = SentRequest(
                platform_world.make_id(),
                self.rng.random() < 0.5,
                instance.name,
                time.monotonic(),
                self.rng.choice(DEADLINES_MS),
            )
            try:
                if stream is None or stream.closed:
                    stream = await streams.connect(instance.outbound, 1.0)
                self.sent_requests.append(sent)
                response = await self._exchange(stream, sent)
                if not response.keep_alive:
                    stream = None
            except (OSError, messages.IncompleteMessageError):
                sent.connection_lost = True
                stream = None
            except messages.MalformedMessageError as error:
                self.fail(f"{sent.id}: malformed response: {error}")
                stream = None
            sent.ended_at = time.monotonic()
            await asyncio.sleep(self.rng.uniform(0.01, 0.08))
        if stream is not None:
            stream.close()

    async def _exchange(self, stream, sent):
        path = (
            self.rng.choice(("/order/", "/press/"))
            if sent.at_most_once
            else "/view/"
        )
        method = b"POST" if sent.at_most_once else b"GET"
        stream.write(
            http1.encode_request(
                method,
                path.encode() + sent.id,
                [
                    (b"host", b"shop.example"),
                    (b"x-request-id", sent.id),
                    (b"x-deadline-ms", b"%d" % sent.deadline_ms),
                ],
                b"x" * 100 if sent.at_most_once else b"",
            )
        )
        async with asyncio.timeout(sent.deadline_ms / 1000 + 8.0):
            response = await http1.read_response(stream, method)
        sent.status = response.status
        if response.find_header(b"x-request-id") not in (sent.id, None):
            self.fail(f"{sent.id}: received the response to another request")
        if response.status == 200 and (
            response.body != b"ran " + sent.id
            or response.find_header(standins.STAMP_HEADER) is None
        ):
            self.fail(f"{sent.id}: status 200 with a wrong body or no stamp")
        if response.status in (401, 403, 404):
            self.fail(f"{sent.id}: status {response.status} for a known route")
        return response

    # Checks.

    async def _wait_until_serving(self, timeout_s):
        """Waits until each node serves requests with the latest config."""
        end = time.monotonic() + timeout_s
        latest_path = f"/v{self.config_version}/1"
        for instance in self.instances:
            while True:
                with contextlib.suppress(
                    OSError, messages.IncompleteMessageError
                ):
                    statuses = [
                        await self._request_status(instance, path, method)
                        for path, method in (
                            (latest_path, b"GET"),
                            ("/order/1", b"POST"),
                            ("/press/1", b"POST"),
                        )
                    ]
                    if statuses == [200, 200, 200]:
                        break
                if time.monotonic() > end:
                    self.fail(
                        f"{instance.name} does not serve {latest_path}:"
                        f" {statuses}"
                    )
                    break
                await asyncio.sleep(0.1)

    async def _request_status(self, instance, path, method):
        response = await standins.send(
            instance.outbound,
            method,
            path.encode(),
            [
                (b"host", b"shop.example"),
                (b"x-request-id", platform_world.make_id()),
                (b"x-deadline-ms", b"2000"),
            ],
        )
        return response.status

    def _check_results(self):
        by_name = {instance.name: instance for instance in self.instances}
        for sent in self.sent_requests:
            runs = self.runs.get(sent.id, [])
            if sent.at_most_once and len(runs) > 1:
                self.fail(
                    f"{sent.id}: ran {len(runs)} times, at most once allowed"
                )
            if sent.at_most_once and sent.status == 503 and runs:
                self.fail(f"{sent.id}: answered 503 although it ran")
            instance = by_name[sent.node]
            undisturbed = instance.is_undisturbed(sent.at, sent.ended_at)
            late_s = sent.ended_at - sent.at - sent.deadline_ms / 1000
            if undisturbed and late_s > RESPONSE_MARGIN_S:
                self.fail(f"{sent.id}: ended {late_s:.1f} s after its deadline")
            if undisturbed and sent.connection_lost and runs:
                self.fail(
                    f"{sent.id}: {sent.node} closed the connection"
                    " although the request ran"
                )
        for limited in self.limited_times:
            self._check_limit(limited, by_name)
        for service, crashing in self.crashing_requests.items():
            late = crashing.list_late_arrivals(by_name)
            if len(late) > MAX_LATE_ARRIVALS:
                self.fail(
                    f"{len(late)} late arrivals of a request of {service} that"
                    f" had crashed {len(crashing.crashes)} backend servers"
                )
        for instance in self.instances:
            rss_mb, descriptors = instance.read_usage()
            if rss_mb > MAX_RSS_MB or descriptors > MAX_DESCRIPTORS:
                self.fail(
                    f"{instance.name}: uses {rss_mb:.0f} MB,"
                    f" {descriptors} file descriptors"
                )

    def _check_limit(self, limited, by_name):
        entry_nodes = {
            sent.id: by_name[sent.node] for sent in self.sent_requests
        }
        times = [
            at
            for at, request_id in limited.backend_server.arrivals
            if limited.start + LIMIT_APPLIES_AFTER_S <= at <= limited.end
            and request_id in entry_nodes
            and not entry_nodes[request_id].is_excused_from_limits(
                limited.start, at
            )
        ]
        allowed = (
            LIMIT_FACTOR * LIMIT_SPAN_S * limited.limit_per_s + LIMIT_SLACK
        )
        for first in times:
            count = sum(first <= at < first + LIMIT_SPAN_S for at in times)
            if count > allowed:
                self.fail(
                    f"{limited.backend_server.instance} got {count} requests"
                    f" at a limit of {limited.limit_per_s} a second"
                )
                return


def run_seed(seed, seconds, folder):
    """Runs one seed; returns the failures and the number of requests."""
    soak = Soak(seed, seconds, pathlib.Path(folder))
    failures = asyncio.run(soak.run())
    return failures, len(soak.sent_requests)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--keep", help="folder for the logs of failed seeds")
    options = parser.parse_args()
    failed = []
    for seed in range(options.first, options.first + options.seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(options.keep or temporary) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            failures, requests = run_seed(seed, options.seconds, folder)
        print(
            f"seed {seed}: {requests} requests, failures: {failures[:6]}",
            flush=True,
        )
        if failures:
            failed.append(seed)
    print(f"{options.seeds} seeds, failed seeds: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
