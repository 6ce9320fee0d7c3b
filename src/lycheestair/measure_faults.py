"""Runs cells of the fault matrix and writes a table and a chart."""

import collections
from concurrent import futures
import pathlib
import random
import sys
import tempfile
from typing import Any
from typing import Final

import orjson

from lycheestair import cell_runner
from lycheestair import fault_matrix
from lycheestair import fleet as fleet_lib
from lycheestair import injection

# Each runner starts a fleet of about 20 processes.
MAX_RUNNERS: Final = 3
_LABELS: Final = {
    cell_runner.Status.PASSED: "passed",
    cell_runner.Status.FAILED: "FAILED",
    cell_runner.Status.NOT_POSSIBLE: "n/p",
    cell_runner.Status.NOT_REACHED: "n/r",
}
_COLOURS: Final = {
    cell_runner.Status.PASSED: "#4c9f70",
    cell_runner.Status.FAILED: "#c0392b",
    cell_runner.Status.NOT_POSSIBLE: "#bbbbbb",
    cell_runner.Status.NOT_REACHED: "#e0c070",
}


def run(
    seed: int = 1, cells: str | int = 12, out: str = "out"
) -> dict[str, Any]:
    """Runs cells and writes `faults.json`, `faults.md` and `faults.png`.

    Args:
      seed: Seed for the choice of cells and for the clients.
      cells: Number of randomly selected cells, or "all" for every fault at
        every injection point.
      out: Output directory, created if missing.

    Returns:
      Number of cells by status, the failed cells with their findings, and the
      cells whose injection point was not reached.
    """
    fleet_lib.kill_children_on_sigterm()
    selected = list(fault_matrix.list_cells())
    random.Random(seed).shuffle(selected)
    if cells != "all":
        selected = selected[: int(cells)]
    results = run_cells(selected, seed)
    directory = pathlib.Path(out)
    directory.mkdir(parents=True, exist_ok=True)
    summary = {
        "seed": seed,
        "cells": len(results),
        "counts": dict(
            collections.Counter(result.status.value for result in results)
        ),
        "failed": {
            result.cell.name: list(result.details)
            for result in results
            if result.status is cell_runner.Status.FAILED
        },
        "not_reached": [
            result.cell.name
            for result in results
            if result.status is cell_runner.Status.NOT_REACHED
        ],
    }
    (directory / "faults.json").write_bytes(
        orjson.dumps(summary, option=orjson.OPT_INDENT_2)
    )
    (directory / "faults.md").write_text(format_table(results))
    draw_matrix(results, directory / "faults.png")
    return summary


def run_cells(
    cells: list[fault_matrix.Cell], seed: int
) -> list[cell_runner.Result]:
    """Runs cells on several fleets in parallel."""
    runner_count = min(MAX_RUNNERS, len(cells))
    with futures.ThreadPoolExecutor(runner_count) as pool:
        tasks = [
            pool.submit(
                _run_on_one_fleet, cells[index::runner_count], seed + index
            )
            for index in range(runner_count)
        ]
        # A wait without a timeout would keep the main thread from handling
        # signals.
        while futures.wait(tasks, timeout=1.0).not_done:
            pass
        return [result for task in tasks for result in task.result()]


def _run_on_one_fleet(
    cells: list[fault_matrix.Cell], seed: int
) -> list[cell_runner.Result]:
    with tempfile.TemporaryDirectory(prefix="lycheestair-") as directory:
        runner = cell_runner.CellRunner(pathlib.Path(directory), seed)
        try:
            return [_run_cell(runner, cell) for cell in cells]
        finally:
            runner.close()


def _run_cell(
    runner: cell_runner.CellRunner, cell: fault_matrix.Cell
) -> cell_runner.Result:
    result = runner.run(cell)
    print(
        f"{result.status.value:12} {result.seconds:5.1f} s  {cell.name}"
        + "".join(f"\n    {detail}" for detail in result.details[:5]),
        file=sys.stderr,
        flush=True,
    )
    return result


def format_table(results: list[cell_runner.Result]) -> str:
    """Returns a Markdown table with a row for each injection point."""
    labels = {
        (result.cell.point, result.cell.faults[0]): _LABELS[result.status]
        for result in results
    }
    header = (
        "| step | " + " | ".join(f.value for f in fault_matrix.Fault) + " |"
    )
    separator = "|---" * (len(fault_matrix.Fault) + 1) + "|"
    rows = (
        f"| {point.value} | "
        + " | ".join(labels.get((point, f), "") for f in fault_matrix.Fault)
        + " |"
        for point in fault_matrix.TRIGGERS
    )
    return "\n".join((header, separator, *rows)) + "\n"


def draw_matrix(results: list[cell_runner.Result], path: pathlib.Path) -> None:
    """Draws a chart with a row for each injection point."""
    # Imported here, so that nodes do not load a plotting library.
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    points: list[injection.Point] = list(fault_matrix.TRIGGERS)
    faults = list(fault_matrix.Fault)
    figure, axes = pyplot.subplots(figsize=(10, 9))
    for result in results:
        axes.add_patch(
            pyplot.Rectangle(
                (
                    faults.index(result.cell.faults[0]),
                    points.index(result.cell.point),
                ),
                0.94,
                0.94,
                color=_COLOURS[result.status],
            )
        )
    axes.set_xlim(0, len(faults))
    axes.set_ylim(len(points), 0)
    axes.set_xticks(
        [index + 0.5 for index in range(len(faults))],
        [fault.value for fault in faults],
        rotation=60,
        ha="right",
    )
    axes.set_yticks(
        [index + 0.5 for index in range(len(points))],
        [point.value for point in points],
    )
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
