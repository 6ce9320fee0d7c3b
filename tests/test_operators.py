"""Steps for scenarios of operator commands against a node."""

import dataclasses
import json

import operator_support
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from lycheestair import cli
from lycheestair import members
from lycheestair import resources
from lycheestair import snapshot as snapshot_lib
from lycheestair import status
from lycheestair import store as store_lib

scenarios("features/operators.feature")

CHANGED_AT = 1_800_000_000.0
NOTE_TEMPLATE = (
    'id = "{id}"\n{base}\n[[service]]\nname = "{service}"\nversions = ["v1"]\n'
)
NOTE_WITH_MISSING_SERVICES = """
id = "bad"
[[route]]
name = "r1"
service = "x"
path_prefix = "/x"
[[route]]
name = "r2"
service = "y"
path_prefix = "/y"
"""


class World:
    """The node under test and the result of the last command."""

    def __init__(self, directory, capsys):
        self.directory = directory
        self.capsys = capsys
        self.node = None
        self.code = 0
        self.output = ""

    def run(self, *arguments):
        self.capsys.readouterr()
        self.code = cli.run([*arguments, "--node", self.node.address])
        captured = self.capsys.readouterr()
        self.output = captured.out + captured.err

    def run_note(self, command, text):
        path = self.directory / "note.toml"
        path.write_text(text)
        self.run("note", command, str(path))

    def start(self, store=None):
        self.node = operator_support.OperatorNode(
            operator_support.make_settings()
        )
        if store is not None:
            self.node.store.objects = store.objects
        self.node.server.start()


@pytest.fixture
def world(tmp_path, capsys):
    world = World(tmp_path, capsys)
    yield world
    world.node.server.stop(0)


@given("a running node")
def start_node(world):
    world.start()


@given(parsers.parse('note "{note}" with service "{service}" was applied'))
def apply_note_successfully(world, note, service):
    apply_note(world, note, service)
    assert world.code == 0, world.output


@given("the store is down")
def make_store_unavailable(world):
    world.node.store.down = True


@given(parsers.parse('node "{name}" is alive at generation {generation:d}'))
def add_node(world, name, generation):
    world.node.membership.members[name] = operator_support.make_member(
        name, "east-2", generation=generation
    )


@given(parsers.parse('node "{name}" is dead'))
def add_dead_node(world, name):
    world.node.membership.members[name] = operator_support.make_member(
        name, "east-2", state=members.MemberState.DEAD
    )


@given("all nodes are replaced")
def replace_nodes(world):
    previous_node = world.node
    previous_node.server.stop(0)
    world.start(previous_node.store)


def make_move(**fields):
    return resources.Move(
        id=fields.pop("id", "m1"),
        note_id="n1",
        service="a",
        from_version="v1",
        to_version="v2",
        target_bps=10_000,
        deadline=CHANGED_AT + 60,
        created_at=CHANGED_AT - 60,
        changed_at=CHANGED_AT,
        **fields,
    )


@given(parsers.parse('a finished move "{name}" is stored'))
def store_finished_move(world, name):
    move = make_move(id=name, state=resources.MoveState.DONE)
    value = json.loads(snapshot_lib.encode_resource(move))
    outcome = world.node.store.put(status.FINISHED_MOVE_KIND, name, value, 0)
    assert isinstance(outcome, store_lib.Written)


@given(parsers.parse('a move in state "{state}"'))
def activate_move(world, state):
    shares = {"moving": 500, "watching": 10_000}
    waits = {"pending": "endpoints of v2", "moving": "evidence"}
    reasons = {"taken_back": "5xx answers", "refused": "5xx answers"}
    move = make_move(
        state=resources.MoveState(state),
        share_bps=shares.get(state, 0),
        waits_for=waits.get(state, ""),
        reason=reasons.get(state, ""),
        bad_calls=7 if state == "taken_back" else 0,
    )
    service = resources.Service(
        "a",
        (resources.Version("v1"), resources.Version("v2")),
        (resources.Share("v1", 10_000),),
    )
    snapshot = snapshot_lib.replace_resources(
        snapshot_lib.EMPTY, (service, move), note_id="n1"
    )
    assert world.node.configuration.activate(
        dataclasses.replace(snapshot, generation=1)
    )


@when(parsers.parse('the operator applies note "{note}" with service "{name}"'))
def apply_note(world, note, name):
    world.run_note(
        "apply", NOTE_TEMPLATE.format(id=note, service=name, base="")
    )


@when(parsers.parse('the operator checks note "{note}" with service "{name}"'))
def check_note(world, note, name):
    world.run_note(
        "check", NOTE_TEMPLATE.format(id=note, service=name, base="")
    )


@when(parsers.parse('the operator applies note "{note}" based on "{base}"'))
def apply_note_based_on(world, note, base):
    text = NOTE_TEMPLATE.format(id=note, service="z", base=f'base = "{base}"')
    world.run_note("apply", text)


@when("the operator checks a note with two routes to missing services")
def check_bad_note(world):
    world.run_note("check", NOTE_WITH_MISSING_SERVICES)


@when(parsers.parse('the operator runs "{command}"'))
def run_command(world, command):
    world.run(*command.split())


@then("the command succeeds and prints nothing")
def expect_no_output(world):
    assert (world.code, world.output.strip()) == (0, "")


@then(parsers.parse('the command succeeds and prints JSON with "{key}"'))
def expect_json(world, key):
    assert world.code == 0
    assert key in json.loads(world.output)


@then(parsers.parse('the command succeeds and prints "{text}"'))
def expect_success(world, text):
    assert world.code == 0, world.output
    assert text in world.output


@then(parsers.parse('the command fails with code {code:d} and prints "{text}"'))
def expect_failure(world, code, text):
    assert world.code == code, world.output
    assert text in world.output


@then(parsers.parse('it also prints "{text}"'))
def expect_text(world, text):
    assert text in world.output
