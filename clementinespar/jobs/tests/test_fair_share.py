"""Tests of the shares and rates of teams, on numbers and on replays of a load."""

import asyncio
import collections
import dataclasses
import time

import hypothesis
import pytest
from hypothesis import strategies as st

from clementinespar.jobs import fair_share, state, team_rate, telemetry
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

TEAMS = st.dictionaries(
    st.sampled_from("abcdef"),
    st.tuples(
        st.tuples(*[st.integers(0, 2000).map(float)] * 3),
        st.sampled_from((0.5, 1.0, 3.0)),
    ),
    min_size=1,
)
CAPACITY = (1000.0, 700.0, 40.0)


@hypothesis.settings(deadline=None)  # a busy machine is not a failure
@hypothesis.given(TEAMS, st.sampled_from("abcdef"))
def test_shares_are_max_min_fair(
    teams: dict[str, tuple[fair_share.Amount, float]], raised: str
) -> None:
    """Guards against shares beyond a pool, idle capacity and a weight that harms."""
    weights = {team: weight for team, (_, weight) in teams.items()}
    demands = {team: demand for team, (demand, _) in teams.items()}
    shares = fair_share.fair_shares(demands, weights, CAPACITY)
    wanted = {t: fair_share.dominant_share(d, CAPACITY) for t, d in demands.items()}
    for kind, whole in enumerate(CAPACITY):
        used = sum(
            demands[team][kind] * share / wanted[team]
            for team, share in shares.items()
            if share
        )
        assert used <= whole * (1 + 1e-6)
    cores = {team: (demand[0], 0.0, 0.0) for team, demand in demands.items()}
    shares = fair_share.fair_shares(cores, weights, CAPACITY)
    wanted = {team: demand[0] / CAPACITY[0] for team, demand in cores.items()}
    assert sum(shares.values()) == pytest.approx(min(1.0, sum(wanted.values())))
    level = max(share / weights[team] for team, share in shares.items())
    for team, share in shares.items():
        is_level = share / weights[team] == pytest.approx(level)
        assert is_level or share == pytest.approx(wanted[team])
    if raised in weights:
        heavier = {**weights, raised: weights[raised] * 2}
        raised_shares = fair_share.fair_shares(cores, heavier, CAPACITY)
        assert raised_shares[raised] >= shares[raised] - 1e-9


def mark(
    accepted_s: list[float], weight: float = 1.0, ahead_s: float = 0.0
) -> list[bool]:
    """Return which jobs of a team are marked; the clock of the first may be ahead."""
    rates = team_rate.TeamRates(
        lambda team: weight, fakes.ignore_event, telemetry.JobMetrics()
    )
    jobs = [
        state.JobProgress(
            dataclasses.replace(
                helpers.make_spec(str(number)), team="a", accepted_ms=int(at * 1000)
            )
        )
        for number, at in enumerate([accepted_s[0] + ahead_s, *accepted_s])
    ]
    rates.mark_all(jobs[:1], accepted_s[0] * 1000)
    rates.mark_all(jobs[1:], accepted_s[-1] * 1000)
    return [job.is_over_rate for job in jobs]


def test_jobs_above_the_rate_are_marked() -> None:
    """Guards against marks that depend on an owner's delay or on one clock."""
    flood = [10.0] * 6
    assert mark(flood) == [False] * 5 + [True] * 2
    assert mark([*flood, 11.5]) == [False] * 5 + [True] * 2 + [False]
    assert mark([*flood, 11.5], ahead_s=60.0) == mark([*flood, 11.5])
    assert mark(flood, weight=2.0) == [False] * 7
    assert not any(mark([float(second) for second in range(40)]))


@paused_clock.test
async def test_next_owner_marks_the_same_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against marks that a change of owner drops or puts on other jobs."""
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(time, "time", loop.time)
    harness = helpers.OwnerHarness(fakes.FakeWorkers(1, cpu=100))  # too small
    for _ in range(2):
        async with helpers.run_owner(harness):
            await asyncio.sleep(0.5)
            for number in range(8 if harness.epoch == 1 else 0):
                accepted_ms = int(loop.time() * 1000)
                spec = helpers.make_spec(str(number))
                await harness.submit(
                    dataclasses.replace(spec, team="a", accepted_ms=accepted_ms)
                )
            await asyncio.sleep(0.5)
    marked = [fields["job"] for event, fields in harness.events if "rate" in event]
    assert marked == ["5", "6", "7"] * 2


Arrival = tuple[float, str, int]  # second, team, number of tasks
OBJECTIVE_MS = 1400.0  # of the specification of `helpers`, whose tasks take 0.5 s


async def replay(
    monkeypatch: pytest.MonkeyPatch, arrivals: list[Arrival], weight: float = 1.0
) -> tuple[collections.Counter[str], collections.Counter[str]]:
    """Return the jobs in time by team, as ordered by slack alone and with teams.

    The pool has 8 workers for 8 tasks each.
    """
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(time, "time", loop.time)
    results = []
    for has_teams in (False, True):
        harness = helpers.OwnerHarness(fakes.FakeWorkers(8, cpu=8000))
        harness.weights = {team: weight for _, team, _ in arrivals}
        async with helpers.run_owner(harness):
            await asyncio.sleep(1.0)
            start = loop.time()
            for number, (at, team, tasks) in enumerate(sorted(arrivals)):
                await asyncio.sleep(start + at - loop.time())
                spec = dataclasses.replace(
                    helpers.make_spec(f"{team}-{number}", tasks),
                    accepted_ms=int(loop.time() * 1000),
                    team=team if has_teams else "",
                )
                if team == "failing":
                    harness.workers.failing_jobs.add(spec.job_id)
                await harness.submit(spec)
            ends: list[dict[str, object]] = []
            async with asyncio.timeout(120.0):  # no job starves
                while len(ends) < len(arrivals):
                    await asyncio.sleep(0.5)
                    ends = [f for event, f in harness.events if event == "job_final"]
        assert not harness.workers.violations
        results.append(
            collections.Counter(
                str(fields["job"]).partition("-")[0]
                for fields in ends
                if float(str(fields["age_ms"])) <= OBJECTIVE_MS
            )
        )
    return results[0], results[1]


@paused_clock.test
async def test_flood_of_a_team_costs_that_team(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a flood during a peak that makes jobs of other teams late."""
    others = [(0.075 * n, f"t{n % 8}", 8) for n in range(60)]
    flood = [(1.5 + 0.1 * n, "flood", 8) for n in range(25)]
    today, fair = await replay(monkeypatch, [*others, *flood])
    assert fair.total() - fair["flood"] == 60 > today.total() - today["flood"]
    assert fair["flood"] >= 5  # those within its rate


@paused_clock.test
async def test_wide_jobs_cost_their_team(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against started wide jobs of one team that come before all others."""
    others = [(0.095 * n, f"t{n % 8}", 8) for n in range(60)]
    wide = [(0.5 + 0.5 * n, "wide", 56) for n in range(8)]
    today, fair = await replay(monkeypatch, [*others, *wide], weight=2.0)
    assert fair.total() - fair["wide"] == 60 > today.total() - today["wide"]
    assert fair["wide"] >= today["wide"]


@paused_clock.test
async def test_teams_that_fill_a_pool_share_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a share that grows with the number of submitted jobs."""
    many = [(0.025 * n, "many", 8) for n in range(160)]
    few = [(0.0625 * n, "few", 8) for n in range(64)]
    # With this weight, no job is above the rate of its team.
    today, fair = await replay(monkeypatch, [*many, *few], weight=40.0)
    assert today["many"] > 1.5 * today["few"]
    assert fair["many"] == pytest.approx(fair["few"], rel=0.15)


@paused_clock.test
async def test_jobs_that_always_fail_cost_their_team(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against failures of one team that take the workers from the others."""
    others = [(0.09 * n, f"t{n % 8}", 8) for n in range(30)]
    failing = [(0.1 * n, "failing", 16) for n in range(20)]
    today, fair = await replay(monkeypatch, [*others, *failing], weight=20.0)
    assert fair.total() == 30 > 2 * today.total()
