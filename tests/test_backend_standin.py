"""Guards announcement, draining and crash detection of a backend server."""

import json
import signal
import subprocess
import sys
import threading

import pytest
import request_support as support

from lycheestair import serving

REQUEST_DURATION_MS = 300


@pytest.fixture
def cluster():
    with support.Cluster(["a1", "a2"]) as cluster:
        yield cluster


@pytest.fixture
def start(cluster, tmp_path):
    """Starts a stand-in for the first node and waits for its endpoint."""
    processes = []

    def start(**options):
        node = cluster.nodes[0]
        arguments = {
            "service": "s",
            "version": "v1",
            "address": f"{support.allocate_host()}:7005",
            "node": node.local,
            "caller": node.caller,
            "journal": tmp_path / "journal",
            "work_ms": REQUEST_DURATION_MS,
            **options,
        }
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "lycheestair_standins.backend",
                *(f"--{name}={value}" for name, value in arguments.items()),
            ]
        )
        processes.append(process)
        support.wait_until(lambda: node.membership.read_self().endpoint)
        rebuild_endpoint_tables(cluster)
        return process

    yield start
    for process in processes:
        process.kill()
        process.wait()


def rebuild_endpoint_tables(cluster):
    for node in cluster.nodes:
        node.data_plane._endpoint_table.rebuild()


def read_journal(tmp_path, event):
    lines = (tmp_path / "journal").read_bytes().splitlines()
    return [e for e in map(json.loads, lines) if e["event"] == event]


def send_in_background(cluster, count):
    """Sends requests via the second node; returns once the first has them."""
    responses, node = [], cluster.nodes[0]
    threads = [
        threading.Thread(
            target=lambda n=n: responses.append(
                support.call(
                    cluster.nodes[1].caller, "POST", "/write", f"body {n}"
                )
            )
        )
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    support.wait_until(
        lambda: node.data_plane._serving_node.admission.load == count
    )
    return threads, responses


def test_terminated_backend_server_finishes_what_runs_and_what_waits(
    cluster, start, tmp_path
):
    """A graceful shutdown completes running and queued requests."""
    process = start(slots=2)
    threads, responses = send_in_background(cluster, 4)
    process.send_signal(signal.SIGTERM)
    serving_node = cluster.nodes[0].data_plane._serving_node
    support.wait_until(lambda: not serving_node.admission._open)
    late = support.call(cluster.nodes[1].caller, "POST", "/write", "late")
    assert support.read_error(late)[1] == "not-run"
    for thread in threads:
        thread.join()
    assert [response.status for response in responses] == [200] * 4
    assert process.wait(support.WAIT_S) == 0
    assert len(read_journal(tmp_path, "end")) == 4
    assert cluster.nodes[0].membership.read_self().endpoint is None


def test_killed_backend_server_is_reported_unknown_and_withdrawn(
    cluster, start, tmp_path
):
    """Running requests are reported as unknown, queued ones as not-run."""
    process = start(slots=2)
    threads, responses = send_in_background(cluster, 4)
    support.wait_until(lambda: len(read_journal(tmp_path, "start")) == 2)
    process.kill()
    for thread in threads:
        thread.join()
    results = [support.read_error(response) for response in responses]
    executions = sorted(execution for _, execution in results)
    assert executions == ["not-run"] * 2 + ["unknown"] * 2
    assert results.count(("connection_lost", "unknown")) == 2
    assert len(cluster.nodes[0].data_plane.suspects.list_entries()) == 2
    # A request that could not connect can't have caused a crash.
    data_plane = cluster.nodes[0].data_plane
    support.call(cluster.nodes[1].caller, "POST", "/write", "unsent")
    assert len(data_plane.suspects.list_entries()) == 2
    # A restarted backend server is accepted at once.
    start(slots=2, work_ms=1)
    support.wait_until(
        lambda: support.call(
            cluster.nodes[1].caller, "POST", "/write", "new"
        ).status
        == 200
    )


def test_backend_server_without_heartbeat_is_withdrawn(
    cluster, start, monkeypatch
):
    """Guards against keeping the endpoint of a backend server that hangs."""
    monkeypatch.setattr(serving, "HEARTBEAT_TIMEOUT_S", 1.5)
    process = start()
    process.send_signal(signal.SIGSTOP)
    membership = cluster.nodes[0].membership
    support.wait_until(
        lambda: membership.read_self().endpoint.state.value != "serving"
    )
    process.send_signal(signal.SIGCONT)
    support.wait_until(
        lambda: membership.read_self().endpoint.state.value == "serving"
    )


def test_response_identifies_the_request(cluster, start):
    """The digest and the request id in a response reveal crossed responses."""
    start(work_ms=1)
    node = cluster.nodes[1]
    response = support.call(node.caller, "POST", "/write/a", "body")
    document = json.loads(response.data)
    assert document["id"] == response.headers["x-lycheestair-request-id"]
    assert document["path"] == "/write/a"
