"""The table at the end of the demo."""

from clementinespar.commands import tables
from demo import scenario


def render(report: scenario.Report) -> str:
    """Return what became of one user's requests and budgets."""
    requests = tables.render(
        (
            *("SERVICE", "ASKED", "ANSWERED", "REFUSED", "UNKNOWN", "LOST"),
            *("DOUBLED", "RAN REFUSED", "WRONG CALLER"),
        ),
        [
            (
                tally.service,
                *(tally.asked, tally.answered, tally.refused, tally.unknown),
                *(tally.lost, tally.doubled, tally.ran_although_refused),
                tally.wrong_caller,
            )
            for tally in report.tallies
        ],
    )
    pools = tables.render(
        ("POOL", "MIN AVAILABLE", "LEAST SEEN", "MOST OUT", "BUDGET"),
        [
            (
                *(name, pool.min_available, pool.least_available, pool.most_out),
                "held" if pool.is_held else "BROKEN",
            )
            for name, pool in report.pools.items()
        ],
    )
    verdict = "all promises kept"
    if report.broken:
        verdict = "\n".join(["BROKEN:", *(f"  {line}" for line in report.broken)])
    return f"{report.user}\n\n{requests}\n\n{pools}\n\n{verdict}"
