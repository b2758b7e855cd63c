"""Results of benchmarks, their bounds, and the loop that runs them."""

import dataclasses
import importlib
import json
import pathlib
import pkgutil
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any

BOUNDS_FILE = pathlib.Path(__file__).with_name("bounds.json")

# Modules of this package that hold no benchmarks.
NOT_BENCHMARKS = frozenset(
    (
        "__main__",
        "admission_sites",
        "admission_traffic",
        "binary",
        "changes_fleet",
        "failure_declarations",
        "failure_fleet",
        "failures",
        "gateway_heartbeats",
        "gateway_keeper",
        "gateway_parts",
        "gateway_records",
        "gateway_requests",
        "gateway_store",
        "harness",
        "planned_stops",
        "processes",
        "report",
        "stop_callers",
        "stop_fleet",
        "stop_judge",
    )
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """One measured figure.

    Attributes:
        name: Dotted name, `area.figure`, unique over all benchmarks.
        value: The figure.
        unit: Its unit, for example `us`, `ms`, `KB`, `ratio`, `count`.
        deterministic: Whether each run gives the same value.
        detail: Sizes, baselines and what else explains the figure. A key
            `series` holds `[[size, value], ...]` for plots.
    """

    name: str
    value: float
    unit: str
    deterministic: bool = False
    detail: Mapping[str, Any] = dataclasses.field(default_factory=dict)

    def to_json(self) -> str:
        """Returns the result as one line of JSON."""
        return json.dumps(dataclasses.asdict(self), sort_keys=True)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bound:
    """What a figure may be at most or at least.

    Attributes:
        maximum: Upper bound; None for none.
        minimum: Lower bound; None for none.
        source: Where the bound is stated.
    """

    maximum: float | None = None
    minimum: float | None = None
    source: str = ""

    def excess(self, value: float) -> str:
        """Says by how much a value breaks the bound; empty if it holds."""
        if self.maximum is not None and value > self.maximum:
            return f"{value:.4g} is above {self.maximum:g}" + _percent(
                value, self.maximum
            )
        if self.minimum is not None and value < self.minimum:
            return f"{value:.4g} is below {self.minimum:g}" + _percent(
                value, self.minimum
            )
        return ""


def _percent(value: float, bound: float) -> str:
    if not bound:
        return ""
    return f" ({abs(value / bound - 1):.1%})"


def load_bounds(path: pathlib.Path = BOUNDS_FILE) -> dict[str, Bound]:
    """Reads the checked-in bounds by result name."""
    data = json.loads(path.read_text())
    return {
        name: Bound(
            maximum=entry.get("max"),
            minimum=entry.get("min"),
            source=entry.get("source", ""),
        )
        for name, entry in data.items()
    }


def areas() -> list[str]:
    """Returns the names of the benchmark modules."""
    import bench

    return sorted(
        module.name
        for module in pkgutil.iter_modules(bench.__path__)
        if module.name not in NOT_BENCHMARKS
        and not module.name.startswith("naive")
    )


def run_area(area: str, counts_only: bool = False) -> Iterator[Result]:
    """Runs one benchmark module.

    A module has `run()` for all its figures, and `counts()` for figures that
    are deterministic and quick enough for CI.
    """
    module = importlib.import_module(f"bench.{area}")
    name = "counts" if counts_only else "run"
    function: Callable[[], Iterator[Result]] | None = getattr(
        module, name, None
    )
    if function is not None:
        yield from function()


def cpu_us_per_call(
    function: Callable[[], object], calls: int, repeats: int = 5
) -> float:
    """Returns the least processor time of one call, in microseconds.

    The least of several repeats is the figure that other work on the machine
    disturbs least.
    """
    best_ns = None
    for _ in range(repeats):
        start_ns = time.process_time_ns()
        for _ in range(calls):
            function()
        spent_ns = time.process_time_ns() - start_ns
        if best_ns is None or spent_ns < best_ns:
            best_ns = spent_ns
    assert best_ns is not None
    return best_ns / calls / 1000
