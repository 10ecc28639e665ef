"""Plots of measurements as PNG files."""

import pathlib
from collections.abc import Mapping, Sequence

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402


def save_bars(
    path: pathlib.Path,
    title: str,
    unit: str,
    labels: Sequence[str],
    values_by_series: Mapping[str, Sequence[float]],
    is_log: bool = False,
) -> None:
    """Save horizontal bars, one group for each label.

    Parameters
    ----------
    path : pathlib.Path
        PNG file to write.
    title, unit : str
        Title of the plot, and unit of the values.
    labels : sequence of str, shape (n,)
        Names of the groups.
    values_by_series : mapping of str to sequence of float, shape (n,)
        Values of each series, one for each group.
    is_log : bool
        Whether the axis of the values is logarithmic.
    """
    figure, axes = pyplot.subplots(figsize=(8, 0.55 * len(labels) + 1.2))
    height = 0.8 / len(values_by_series)
    for index, (series, values) in enumerate(values_by_series.items()):
        positions = [label + index * height for label in range(len(labels))]
        axes.barh(positions, values, height=height, label=series)
    axes.set_yticks(
        [position + 0.4 - height / 2 for position in range(len(labels))], labels
    )
    axes.invert_yaxis()
    axes.set_xlabel(unit)
    axes.set_title(title)
    if is_log:
        axes.set_xscale("log")
    if len(values_by_series) > 1:
        axes.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
