"""Runs an experiment and summarizes what its clients got."""

from collections.abc import Iterable
import json
import pathlib
import statistics
from typing import Any
from typing import Final

from lycheestair import experiment_settings
from lycheestair import load_model

# Length in seconds of the windows of the summary.
WINDOW_S: Final = 2.0


def run(file: str, seed: int, out: str = "", plot: str = "") -> None:
    """Runs an experiment, prints its summary and writes the files asked for.

    Args:
      file: TOML file with the settings of the experiment.
      seed: Seed of all random choices.
      out: JSON file for the summary, empty for none.
      plot: PNG file for a plot of the windows, empty for none.

    Raises:
      ExperimentSettingsError: The settings file can't be read or is invalid.
    """
    experiment = experiment_settings.read(pathlib.Path(file))
    summary = summarize(
        load_model.play(experiment, seed), experiment.duration_s
    )
    print(format_summary(summary))
    if out:
        pathlib.Path(out).write_text(
            json.dumps({"seed": seed, **summary}, indent=2) + "\n",
            encoding="utf-8",
        )
    if plot:
        _plot(summary, pathlib.Path(plot))


def summarize(
    answers: list[load_model.Answer], duration_s: float
) -> dict[str, Any]:
    """Returns the shares of the results by kind and by window."""
    kinds = sorted({answer.kind for answer in answers})
    window_count = int(duration_s / WINDOW_S)
    return {
        "kinds": {
            kind: _summarize_kind([a for a in answers if a.kind == kind])
            for kind in kinds
        },
        "windows": [
            {
                "from_s": index * WINDOW_S,
                **_compute_shares(
                    answer
                    for answer in answers
                    if int(answer.started_s / WINDOW_S) == index
                ),
            }
            for index in range(window_count)
        ],
    }


def _summarize_kind(answers: list[load_model.Answer]) -> dict[str, Any]:
    latencies_ms = [
        answer.latency_s * 1000
        for answer in answers
        if answer.result is not load_model.Result.REFUSED
    ]
    quantiles = (
        statistics.quantiles(latencies_ms, n=100)
        if len(latencies_ms) > 1
        else [0.0] * 99
    )
    return {
        "requests": len(answers),
        **_compute_shares(answers),
        "p50_ms": round(quantiles[49], 1),
        "p99_ms": round(quantiles[98], 1),
    }


def _compute_shares(answers: Iterable[load_model.Answer]) -> dict[str, float]:
    results = [answer.result for answer in answers]
    return {
        result.value: round(results.count(result) / max(1, len(results)), 4)
        for result in load_model.Result
    }


def format_summary(summary: dict[str, Any]) -> str:
    """Returns the summary as a table."""
    lines = [
        "kind            requests  in time     late  refused   failed   p50 ms   p99 ms"
    ]
    lines += [
        f"{name:<16}{kind['requests']:>8}{kind['in_time']:>9.3f}"
        f"{kind['late']:>9.3f}{kind['refused']:>9.3f}{kind['failed']:>9.3f}"
        f"{kind['p50_ms']:>9.1f}{kind['p99_ms']:>9.1f}"
        for name, kind in summary["kinds"].items()
    ]
    return "\n".join(lines)


def _plot(summary: dict[str, Any], path: pathlib.Path) -> None:
    # Only this option needs the plotting library.
    import matplotlib.pyplot

    figure, axes = matplotlib.pyplot.subplots()
    starts = [window["from_s"] for window in summary["windows"]]
    for result in load_model.Result:
        axes.plot(
            starts,
            [window[result.value] for window in summary["windows"]],
            label=result.value.replace("_", " "),
        )
    axes.set_xlabel("time of the first attempt (s)")
    axes.set_ylabel("share of the requests")
    axes.legend()
    figure.savefig(path)
    matplotlib.pyplot.close(figure)
