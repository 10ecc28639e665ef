"""All measurements of the policy and of whole processes: ``make bench``.

``--policy-only`` leaves out whole processes.

Writes the generated parts of ``docs/measurements.md`` and its plots. Measurements of
the policy run on a paused clock with fixed seeds, so their figures are reproducible.
"""

import asyncio
import concurrent.futures
import pathlib
import statistics
import sys
from collections.abc import Callable
from typing import TypeVar

from bench import plots, tables, throughput
from bench.policy import buffers, hosts, waiting, workload

_PAGE = pathlib.Path("docs/measurements.md")
_PLOTS = pathlib.Path("docs/plots")
_WORKERS = 5  # half of the cores of a ten-core machine
_THROUGHPUT_S = 5.0

_Row = TypeVar("_Row")


def _submit_for_each_user(
    pool: concurrent.futures.Executor, measure: Callable[[workload.User], list[_Row]]
) -> "list[concurrent.futures.Future[list[_Row]]]":
    return [pool.submit(measure, user) for user in workload.USERS]


def _collect_rows(futures: "list[concurrent.futures.Future[list[_Row]]]") -> list[_Row]:
    return [row for future in futures for row in future.result()]


def _plot_waiting(rows: list[waiting.WaitingRow]) -> None:
    for user in workload.USERS:
        user_rows = [row for row in rows if row.user == user.name]
        plots.save_bars(
            _PLOTS / f"waiting-{user.name}.png",
            f"Waiting of short work at the peak, {user.name}",
            "seconds",
            [row.policy for row in user_rows],
            {
                f"p{share * 100:g}": [
                    max(statistics.median(row.short_by_share[share].values), 1e-4)
                    for row in user_rows
                ]
                for share in waiting.SHARES
            },
            is_log=True,
        )


def main() -> None:
    """Run all measurements and write the generated parts of the page."""
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        waiting_rows = _submit_for_each_user(pool, waiting.measure_waiting)
        retry_rows = _submit_for_each_user(pool, waiting.measure_retries)
        roll_out_rows = _submit_for_each_user(pool, hosts.measure_roll_out)
        move_rows = _submit_for_each_user(pool, hosts.measure_moves)
        buffer_rows = _submit_for_each_user(pool, buffers.measure)
        parts = {
            "waiting": waiting.waiting_table(_collect_rows(waiting_rows)),
            "retries": waiting.retry_table(_collect_rows(retry_rows)),
            "roll-out": hosts.roll_out_table(_collect_rows(roll_out_rows)),
            "moves": hosts.move_table(_collect_rows(move_rows)),
            "buffers": buffers.table(_collect_rows(buffer_rows)),
        }
        _plot_waiting(_collect_rows(waiting_rows))
    if "--policy-only" not in sys.argv:
        # Run after the policy measurements, so that nothing else loads the machine.
        parts["throughput"] = asyncio.run(throughput.run(_THROUGHPUT_S))
    for name, text in parts.items():
        print(f"\n{name}\n\n{text}")
        tables.replace_part(_PAGE, name, text)


if __name__ == "__main__":
    main()
