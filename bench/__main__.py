"""All measurements of the policy and of whole processes: ``make bench``.

``--policy-only`` leaves out whole processes.

Fills the generated parts of ``docs/measurements.md`` and its plots. Policy measurements
run on a paused clock with fixed seeds, so their figures repeat exactly.
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
_WORKERS = 5  # half of the machine of ten cores
_THROUGHPUT_S = 5.0

_Row = TypeVar("_Row")


def _measure_users(
    pool: concurrent.futures.Executor, measure: Callable[[workload.User], list[_Row]]
) -> "list[concurrent.futures.Future[list[_Row]]]":
    return [pool.submit(measure, user) for user in workload.USERS]


def _rows(futures: "list[concurrent.futures.Future[list[_Row]]]") -> list[_Row]:
    return [row for future in futures for row in future.result()]


def _plot_waiting(rows: list[waiting.WaitingRow]) -> None:
    for user in workload.USERS:
        own = [row for row in rows if row.user == user.name]
        plots.save_bars(
            _PLOTS / f"waiting-{user.name}.png",
            f"Waiting of short work at the peak, {user.name}",
            "seconds",
            [row.policy for row in own],
            {
                f"p{share * 100:g}": [
                    max(statistics.median(row.short_by_share[share].values), 1e-4)
                    for row in own
                ]
                for share in waiting.SHARES
            },
            is_log=True,
        )


def main() -> None:
    """Run everything and fill the page."""
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        waiting_rows = _measure_users(pool, waiting.measure_waiting)
        retry_rows = _measure_users(pool, waiting.measure_retries)
        roll_out_rows = _measure_users(pool, hosts.measure_roll_out)
        move_rows = _measure_users(pool, hosts.measure_moves)
        buffer_rows = _measure_users(pool, buffers.measure)
        parts = {
            "waiting": waiting.waiting_table(_rows(waiting_rows)),
            "retries": waiting.retry_table(_rows(retry_rows)),
            "roll-out": hosts.roll_out_table(_rows(roll_out_rows)),
            "moves": hosts.move_table(_rows(move_rows)),
            "buffers": buffers.table(_rows(buffer_rows)),
        }
        _plot_waiting(_rows(waiting_rows))
    if "--policy-only" not in sys.argv:
        # Alone, so that nothing else loads the machine.
        parts["throughput"] = asyncio.run(throughput.run(_THROUGHPUT_S))
    for name, text in parts.items():
        print(f"\n{name}\n\n{text}")
        tables.replace_part(_PAGE, name, text)


if __name__ == "__main__":
    main()
