"""Demand of a pool for hosts, as far as the caps of its teams let it run.

The load it answers: a team submits far more than its cap holds. Hosts that are brought
for the rest of its work would stay idle while another pool lacks them.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from clementinespar.jobs import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Work of a pool that can still meet its objective.

    Attributes
    ----------
    waiting_cores : float
        Cores of the ready tasks that wait, as far as their teams may run them.
    runnable_share : float
        Share of the cores of running and ready tasks that the caps let run, 0 to 1.
    """

    waiting_cores: float
    runnable_share: float


def limit_to_caps(
    waiting: Iterable[tuple[str, resources.Resources]],
    room_by_team: Mapping[str, resources.Resources],
    used_cores: float,
) -> Demand:
    """Return the demand of a pool.

    Parameters
    ----------
    waiting : iterable of (str, Resources)
        What the ready tasks of each step need, with the team of their job.
    room_by_team : mapping of str to Resources
        What each team may still start; a negative amount has no limit. Teams that are
        missing have no cap.
    used_cores : float
        Cores in use by the pool's runs.
    """
    waiting_by_team: dict[str, resources.Resources] = {}
    for team, needs in waiting:
        waiting_by_team[team] = waiting_by_team.get(team, resources.ZERO).plus(needs)
    total = 0.0
    runnable = 0.0
    for team, needs in waiting_by_team.items():
        cores = needs.cpu_millis / 1000
        total += cores
        runnable += cores * _runnable_share(needs, room_by_team.get(team))
    demanded = used_cores + total
    share = (used_cores + runnable) / demanded if demanded else 1.0
    return Demand(runnable, share)


def _runnable_share(
    needs: resources.Resources, room: resources.Resources | None
) -> float:
    """Return the share of what a team needs that its cap has room for."""
    share = 1.0
    if room is None:
        return share
    for need, left in zip(needs, room, strict=True):
        if need and left >= 0:
            share = min(share, left / need)
    return share
