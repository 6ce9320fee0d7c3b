"""Guards against wrong exit codes, tracebacks and unclear error messages."""

import json
import os
import pathlib
import subprocess
import sys

import operator_support
import ports
import pytest

from lycheestair import actions
from lycheestair import cli

SETTINGS = """
[node]
id = "n1"
region = "east"
failure_domain = "east-1"
[listeners]
caller = "127.0.0.1:7001"
peer = "127.0.0.1:7002"
control = "127.0.0.1:7003"
local = "127.0.0.1:7004"
[store]
address = "127.0.0.1:7000"
[topology]
east-1 = "east"
"""
UNUSED_ADDRESS = f"127.0.0.1:{ports.reserve_port()}"


def run(capsys, *arguments):
    code = cli.run(list(arguments))
    captured = capsys.readouterr()
    assert "Traceback" not in captured.err
    for line in captured.err.splitlines():
        assert line.startswith("lycheestair: ")
    return code, captured.out, captured.err


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        ("bogus", 2, "bogus"),
        ("note check", 2, "file"),
        ("note apply F --bogus 1 --node 127.0.0.1:1", 2, "--bogus"),
        ("note apply F extra more much --node 127.0.0.1:1", 2, "see"),
        ("note apply /missing --node 127.0.0.1:1", 1, "/missing: No such"),
        ("status", 2, "give either --node"),
        ("status --node 127.0.0.1:1 --settings F", 2, "give either --node"),
        ("status --node host:1", 2, "'host:1' is not an address"),
        ("status --node 127.0.0.1:0", 2, "IP:PORT"),
        ("status --node 127.0.0.1:65536", 2, "IP:PORT"),
        ("status --node 127.0.0.1", 2, "IP:PORT"),
        ("status --node 5", 2, "IP:PORT"),
        ("status --node 127.0.0.1:1 --limit x", 2, "--limit: 'x'"),
        ("status --settings /missing", 1, "/missing: No such file"),
        (f"status --node {UNUSED_ADDRESS}", 4, UNUSED_ADDRESS),
        (f"note history --node {UNUSED_ADDRESS}", 4, UNUSED_ADDRESS),
        (f"suspects list --node {UNUSED_ADDRESS}", 4, UNUSED_ADDRESS),
        (
            f"status --node {UNUSED_ADDRESS} --credentials /missing/x",
            1,
            "/missing/x.pem",
        ),
        ("settings check /missing", 1, "/missing: No such file"),
        ("node --settings /missing", 1, "/missing: No such file"),
        ("demo --deployment rome", 2, "'rome' is not one of zecca, vakharia"),
        ("measure speed", 2, "'speed' is not one of convergence"),
        ("keys make --out /proc/none", 1, "/proc/none"),
        ("keys make --out D --nodes a/b", 1, "'a/b'"),
        ("keys make --out D --days 0", 2, "--days: 0"),
    ],
)
def test_errors_set_the_exit_code_and_print_no_traceback(
    capsys, tmp_path, monkeypatch, arguments, code, text
):
    monkeypatch.chdir(tmp_path)
    exit_code, out, err = run(capsys, *arguments.split())
    assert (exit_code, out) == (code, "")
    assert text in err


@pytest.mark.parametrize(
    ("old", "new", "fragments"),
    [
        ("", "", None),
        ('id = "n1"', "", ["node.id: missing, must be set"]),
        ('id = "n1"', "id = 5", ["node.id: ", "(found 5)"]),
        ('id = "n1"', 'idd = "n1"', ["node.idd: unknown key (found 'n1')"]),
        ("7002", "70020", ["listeners.peer: ", "port 1 to 65535", "70020"]),
        ("7002", "7001", ["'127.0.0.1:7001' is used twice"]),
        ("127.0.0.1:7002", "10.0.0.1:7002", ["listeners.peer", "tls.enabled"]),
        ("127.0.0.1:7003", "0.0.0.0:7003", ["listeners.control"]),
        ("[topology]", "[topology]\nx = 1", ["topology.x: ", "(found 1)"]),
        ('east-1 = "east"', 'b = "east"', ["'east-1' must be listed"]),
        ("[store]", "[tls]\nenabled = true\n[store]", ["tls.certificate"]),
        (
            "[store]",
            "[telemetry]\nlog_level = 'LOUD'\n[store]",
            ["telemetry.log_level: ", "'DEBUG'", "'LOUD'"],
        ),
        (
            "[store]",
            "[requests]\nmax_connections = 0\nqueue_length = -1\n[store]",
            [
                "requests.max_connections: ",
                "greater than 0 (found 0)",
                "requests.queue_length: ",
                "(found -1)",
            ],
        ),
        ("[node]", "[node", ["not TOML"]),
    ],
)
def test_settings_check_reports_file_key_value_and_fix(
    capsys, tmp_path, old, new, fragments
):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.replace(old, new, 1) if old else SETTINGS)
    code, out, err = run(capsys, "settings", "check", str(path))
    if fragments is None:
        assert (code, err) == (0, "")
        assert "settings of node n1 are valid" in out
        return
    assert code == 1
    assert all(str(path) in line for line in err.splitlines())
    for fragment in fragments:
        assert fragment in err


def test_note_check_reports_all_invalid_keys(capsys, tmp_path):
    path = tmp_path / "note.toml"
    path.write_text('id = "N"\nextra = 1\n[[service]]\nname = 5\n')
    code, _, err = run(capsys, "note", "check", str(path))
    assert code == 1
    assert [line.split(": ")[2] for line in err.splitlines()] == [
        "id",
        "service.0.name",
        "extra",
    ]


def test_note_that_is_not_utf8_is_rejected(capsys, tmp_path):
    path = tmp_path / "note.toml"
    path.write_bytes(b"\xff\xfe")
    code, _, err = run(capsys, "note", "check", str(path))
    assert (code, "not UTF-8" in err) == (1, True)


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        ([], "GROUP | COMMAND"),
        (["--help"], "Exit codes"),
        (["note", "apply", "--help"], "TOML file of the note"),
        (["keys", "make", "--help"], "Days for which"),
        (["version"], "0.1.0"),
    ],
)
def test_help_and_version_succeed(capsys, arguments, text):
    code, out, err = run(capsys, *arguments)
    assert (code, err) == (0, "")
    assert text in out


class FakeBenchmark:
    """Stands in for a benchmark module."""

    def __init__(self):
        self.seed = None

    def run(self, seed=1):
        self.seed = seed
        return {"seed": seed, "p99_ms": 1.5}


def test_measure_passes_options_and_rejects_unknown_ones(capsys, monkeypatch):
    benchmark = FakeBenchmark()
    monkeypatch.setattr(actions, "import_module", lambda name: benchmark)
    code, printed, _ = run(capsys, "measure", "keys", "--seed", "7")
    assert code == 0
    assert benchmark.seed == 7
    assert json.loads(printed) == {"seed": 7, "p99_ms": 1.5}
    code, _, err = run(capsys, "measure", "keys", "--sede", "7")
    assert (code, "sede" in err) == (2, True)


def test_created_certificates_authenticate_node_and_operators(capsys, tmp_path):
    out = str(tmp_path)
    code, printed, _ = run(
        capsys, "keys", "make", "--out", out, "--operators", "ann,bob"
    )
    assert code == 0
    names = [pathlib.Path(line).stem for line in printed.splitlines()]
    assert names == ["authority", "node", "ann", "bob"]
    settings = operator_support.make_settings(
        tls={
            "enabled": True,
            "certificate": f"{out}/node.pem",
            "key": f"{out}/node-key.pem",
            "authority": f"{out}/authority.pem",
            "operators": ["ann"],
        }
    )
    note = tmp_path / "note.toml"
    note.write_text('id = "n1"\n')
    with operator_support.run_node(settings) as node:
        apply = ["note", "apply", str(note), "--node", node.address]
        code, _, err = run(capsys, *apply, "--credentials", f"{out}/bob")
        assert (code, "bob is not listed in tls.operators" in err) == (5, True)
        code, _, err = run(capsys, *apply, "--credentials", f"{out}/ann")
        assert (code, err) == (0, "")


def test_process_exits_with_the_exit_code_of_the_command():
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    result = subprocess.run(
        [sys.executable, "-m", "lycheestair.cli", "status"],
        capture_output=True,
        text=True,
        env=environment,
        check=False,
    )
    assert result.returncode == 2
    assert result.stderr.startswith("lycheestair: give either")
