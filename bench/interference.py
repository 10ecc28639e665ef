"""Size of the interference in decision lines: ``python -m bench.interference FILE...``.

Reads the lines `interference_evidence` and `interference` of all nodes, from files or
standard input. A line may have a prefix before its JSON. Prints for each pair of images
how its figure (run time or tail latency) compares with the mean of its image while the
other image ran beside it.
"""

import collections
import dataclasses
import json
import sys
from collections.abc import Iterable, Iterator

import click

EVENTS = ("interference", "interference_evidence")


@dataclasses.dataclass(slots=True)
class PairSum:
    """Sums over all lines of a pair of images."""

    count: int = 0
    ratio_sum: float = 0.0
    exposure_sum: float = 0.0
    last_effect: float = 0.0
    reached: int = 0  # verdicts
    gone: int = 0

    @property
    def ratio(self) -> float:
        """Return the mean figure over the mean of the image."""
        return self.ratio_sum / max(1, self.count)

    @property
    def exposure(self) -> float:
        """Return the mean number of tasks beside it."""
        return self.exposure_sum / max(1, self.count)


# Pool, measure, victim, other image.
PairName = tuple[str, str, str, str]


def read_events(lines: Iterable[str]) -> Iterator[dict[str, object]]:
    """Return the decision lines on interference; other lines are skipped."""
    for line in lines:
        start = line.find("{")
        if start < 0 or '"interference' not in line:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue  # a line that was cut
        if isinstance(event, dict) and event.get("event") in EVENTS:
            yield event


def add_events(events: Iterable[dict[str, object]]) -> dict[PairName, PairSum]:
    """Return the sums by pair."""
    sums: dict[PairName, PairSum] = collections.defaultdict(PairSum)
    for event in events:
        pool = str(event.get("pool"))
        if event["event"] == "interference":
            name = (
                pool,
                str(event["measure"]),
                str(event["victim"]),
                str(event["neighbour"]),
            )
            if event["is_verdict"]:
                sums[name].reached += 1
            else:
                sums[name].gone += 1
            continue
        rows = event["pairs"]
        assert isinstance(rows, list)
        for measure, victim, other, count, ratio, exposure, effect in rows:
            pair = sums[pool, measure, victim, other]
            pair.count += count
            pair.ratio_sum += count * ratio
            pair.exposure_sum += count * exposure
            pair.last_effect = effect
    return sums


@click.command()
@click.argument("files", nargs=-1, type=click.File("r"))
@click.option(
    "--min-runs", default=20, show_default=True, help="Leave out rarer pairs."
)
def main(files: tuple[Iterable[str], ...], min_runs: int) -> None:
    """Print the pairs of images, the largest signal first."""
    sums = add_events(
        event for lines in files or (sys.stdin,) for event in read_events(lines)
    )
    shown = [item for item in sums.items() if item[1].count >= min_runs]
    shown.sort(key=lambda item: -abs(item[1].ratio - 1.0))
    click.echo("runs  beside  ratio  effect  verdicts  measure   pool: victim < other")
    for (pool, measure, victim, other), pair in shown:
        click.echo(
            f"{pair.count:4}  {pair.exposure:6.2f}  {pair.ratio:5.2f}"
            f"  {pair.last_effect:6.2f}  {pair.reached:3}/{pair.gone:<3}"
            f"   {measure:8}  {pool}: {victim} < {other}"
        )
    runs = sum(pair.count for pair in sums.values())
    reached = sum(pair.reached for pair in sums.values())
    gone = sum(pair.gone for pair in sums.values())
    click.echo(
        f"{len(sums)} pairs, {len(shown)} of them shown, {runs} observations,"
        f" {reached} verdicts reached, {gone} withdrawn"
    )


if __name__ == "__main__":
    main()
