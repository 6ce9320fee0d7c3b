"""Tests that the invariants hold under faults, with real node processes."""

import pytest
import pytest_bdd

from lycheestair import cell_runner
from lycheestair import fault_matrix
from lycheestair import injection

SEED = 11

pytest_bdd.scenarios("features/faults.feature")


@pytest.fixture(scope="module")
def runner(tmp_path_factory):
    started_runner = cell_runner.CellRunner(
        tmp_path_factory.mktemp("cells"), SEED
    )
    yield started_runner
    started_runner.close()


@pytest_bdd.given("a fleet of node processes under load")
def start_fleet(runner):
    del runner


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{fault} occurs at the injection point {point}"),
    target_fixture="result",
)
def run_cell(runner, fault, point):
    cell = fault_matrix.Cell(
        injection.Point(point), (fault_matrix.Fault[fault],)
    )
    return runner.run(cell)


@pytest_bdd.then("no invariant is violated and a new note is activated")
def check_result(result):
    assert result.status is cell_runner.Status.PASSED, result.details


def test_matrix_covers_every_injection_point():
    assert set(fault_matrix.TRIGGERS) == set(injection.Point)
