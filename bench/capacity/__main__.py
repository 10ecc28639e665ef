"""All measurements behind ``docs/CAPACITY.md``: ``make bench-capacity``.

Writes the generated parts of the page: the measured slopes with their fits, and the
planned size extrapolated from them.
"""

import dataclasses
import json
import pathlib
import subprocess
import sys

from bench import fits, fleets, tables
from bench.capacity import planned

_PAGE = pathlib.Path("docs/CAPACITY.md")
_RESULTS = pathlib.Path("bench/results/capacity.json")
_IDLE_S = 15
_PUBLICATIONS = 10
_NODE_COUNTS = (3, 6, 9, 18)
_FLEET_PROBES = (
    "publication",
    "host_operations",
    "claims",
    "lease",
    "state_memory",
    "snapshot",
    "planning",
)

Figures = dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Measurements of one figure at several sizes."""

    figure: str  # name of the figure, with its unit
    against: str  # what is varied
    xs: tuple[float, ...]
    ys: tuple[float, ...]

    @property
    def fit(self) -> fits.Fit:
        """The straight line through the measurements."""
        return fits.fit_line(self.xs, self.ys)


def _run(*arguments: str) -> Figures:
    """Run one measurement in a process of its own and return its figures."""
    done = subprocess.run(
        [sys.executable, "-m", *arguments], check=True, capture_output=True, text=True
    )
    figures: Figures = json.loads(done.stdout.splitlines()[-1])
    print(" ".join(arguments), figures, flush=True)
    return figures


def _size_arguments(size: fleets.FleetSize) -> tuple[str, str, str]:
    return str(size.hosts), str(size.pools), str(size.teams)


def _slopes(against: str, measured: list[tuple[float, Figures]]) -> list[Slope]:
    return [
        Slope(
            figure,
            against,
            tuple(x for x, _ in measured),
            tuple(figures[figure] for _, figures in measured),
        )
        for figure in measured[0][1]
    ]


def _measure_nodes(
    name: str, size: fleets.FleetSize, node_count: int, amount: int
) -> Figures:
    """Measure whole nodes; ``amount`` is a number of seconds or of publications."""
    arguments = (*_size_arguments(size), str(node_count), str(amount))
    return _run("bench.capacity.nodes", name, *arguments)


def measure() -> list[Slope]:
    """Run all measurements and return their slopes."""
    sizes = (fleets.CURRENT_SIZE, *fleets.SIZES)
    slopes: list[Slope] = []
    for probe in _FLEET_PROBES:
        measured = [
            (
                float(size.hosts),
                _run("bench.capacity.probe", probe, *_size_arguments(size)),
            )
            for size in sizes
        ]
        slopes += _slopes("hosts", measured)
    for name, amount, against in (
        ("idle", _IDLE_S, "hosts, 3 nodes"),
        ("waves", _IDLE_S, "hosts, 3 nodes, waves"),
        ("publish", _PUBLICATIONS, "hosts, 3 nodes"),
    ):
        measured = [
            (float(size.hosts), _measure_nodes(name, size, 3, amount)) for size in sizes
        ]
        slopes += _slopes(against, measured)
    measured = [
        (float(count), _measure_nodes("idle", fleets.CURRENT_SIZE, count, _IDLE_S))
        for count in _NODE_COUNTS
    ]
    slopes += _slopes("nodes, 40 hosts", measured)
    largest = _measure_nodes("publish", fleets.SIZES[-1], 9, _PUBLICATIONS)
    slopes += [
        Slope(f"{name} at 9 nodes", "1,100 hosts", (1100.0,), (value,))
        for name, value in largest.items()
    ]
    return slopes


def slope_table(slopes: list[Slope]) -> str:
    """Return the Markdown table of slopes."""
    rows = []
    for slope in slopes:
        if len(slope.xs) < 2:
            rows.append((slope.figure, slope.against, f"{slope.ys[0]:.4g}", "", "", ""))
            continue
        fit = slope.fit
        rows.append(
            (
                slope.figure,
                slope.against,
                ", ".join(
                    f"{x:.0f}: {y:.4g}" for x, y in zip(slope.xs, slope.ys, strict=True)
                ),
                f"{fit.intercept:.4g} + {fit.slope:.4g} n",
                f"{fit.residual_share:.0%}",
                f"{fit.exponent:.2f}",
            )
        )
    return tables.markdown(
        ("figure", "against", "measured", "fit", "residual", "exponent"), rows
    )


def main() -> None:
    """Measure, save the results, and write the generated parts of the page."""
    if "--page-only" in sys.argv:
        entries = json.loads(_RESULTS.read_text(encoding="utf-8"))
        slopes = [
            Slope(
                entry["figure"],
                entry["against"],
                tuple(entry["xs"]),
                tuple(entry["ys"]),
            )
            for entry in entries
        ]
    else:
        slopes = measure()
        _RESULTS.parent.mkdir(exist_ok=True)
        text = json.dumps([dataclasses.asdict(slope) for slope in slopes], indent=1)
        _RESULTS.write_text(text + "\n", encoding="utf-8")
    fits_by_key = {
        (slope.figure, slope.against): slope.fit for slope in slopes if slope.xs[1:]
    }
    tables.replace_part(_PAGE, "slopes", slope_table(slopes))
    tables.replace_part(_PAGE, "planned", planned.table(fits_by_key))
    print(planned.table(fits_by_key))


if __name__ == "__main__":
    main()
