"""Summary tables printed at the end of the demo."""

from clementinespar.commands import tables
from demo import scenario


def render(report: scenario.Report) -> str:
    """Return the tables of one user's requests and pools, and the overall result."""
    requests = tables.render(
        (
            *("SERVICE", "SENT", "ANSWERED", "REFUSED", "UNKNOWN", "LOST"),
            *("DUPLICATED", "RAN ALTHOUGH REFUSED", "WRONG ANSWERS"),
        ),
        [
            (
                tally.service,
                *(tally.sent, tally.answered, tally.refused, tally.unknown),
                *(tally.lost, tally.duplicated, tally.ran_although_refused),
                tally.wrong_answers,
            )
            for tally in report.tallies
        ],
    )
    pools = tables.render(
        ("POOL", "MIN AVAILABLE", "LEAST AVAILABLE", "MOST OUT", "BUDGET"),
        [
            (
                *(name, pool.min_available, pool.least_available, pool.most_out),
                "met" if pool.is_within_budget else "VIOLATED",
            )
            for name, pool in report.pools.items()
        ],
    )
    summary = "all guarantees hold"
    if report.violations:
        summary = "\n".join(["VIOLATED:", *(f"  {line}" for line in report.violations)])
    return f"{report.user}\n\n{requests}\n\n{pools}\n\n{summary}"
