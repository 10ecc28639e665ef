"""Decides which waves start or end, and which hosts are taken out for maintenance.

The decision is a pure function of the folded state, the document and the node's
observation of hosts. The fold checks each resulting record again.
"""

import collections
import dataclasses
import itertools
import math
from collections.abc import Iterator

from clementinespar import codes, explanation, identifiers
from clementinespar.documents import model
from clementinespar.log import base
from clementinespar.pools import availability, budget
from clementinespar.pools import messages as pool_messages
from clementinespar.pools import state as pools_state
from clementinespar.waves import messages
from clementinespar.waves import state as waves_state

_DAY_MS = 86_400_000
# Hosts are due after this share of the interval. The rest leaves time for the waves of
# all pools, of which only some run at a time, so that no host exceeds the interval.
DUE_SHARE = 0.75
# Share of the pools in which waves run at a time, scaled by the weight of roll-out time
# against waiting. Failures are correlated within a wave, so most pools run none at
# any time. With 1/16, 5 pools would run one wave at a time whatever the weights.
POOLS_SHARE = 1 / 5
# A wave that runs for longer is given up, so that waves of other pools can start.
WAVE_LIMIT_MS = 12 * 3_600_000


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """Inputs of the decision."""

    document: model.Document
    pools: pools_state.PoolsState
    waves: waves_state.WavesState
    log_time_ms: int
    observation: availability.Observation


@dataclasses.dataclass(frozen=True, slots=True)
class WaveStart:
    """Decision to start a wave."""

    pool: str
    host_ids: tuple[str, ...]  # in the order of maintenance

    def to_record(self, author: str, issued_ms: int) -> base.Record:
        """Return the record that starts the wave."""
        return messages.WaveStarted(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author=author,
            pool=self.pool,
            host_ids=self.host_ids,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOut:
    """Decision to take a host out for maintenance."""

    host_id: str
    pool: str
    host_revision: int
    wave_id: str

    def to_record(self, author: str, issued_ms: int) -> base.Record:
        """Return the record that takes the host out."""
        return pool_messages.HostTakenOut(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author=author,
            host_id=self.host_id,
            pool=self.pool,
            host_revision=self.host_revision,
            reason="maintenance",
            wave_id=self.wave_id,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class WaveEnd:
    """Decision to end a wave."""

    wave_id: str
    pool: str
    reason: str

    def to_record(self, author: str, issued_ms: int) -> base.Record:
        """Return the record that ends the wave."""
        return messages.WaveFinished(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author=author,
            wave_id=self.wave_id,
            reason=self.reason,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class WavePlan:
    """Decisions of the next round, with an explanation for each pool."""

    starts: tuple[WaveStart, ...] = ()
    take_outs: tuple[TakeOut, ...] = ()
    ends: tuple[WaveEnd, ...] = ()
    explanations_by_pool: dict[str, explanation.Explanation] = dataclasses.field(
        default_factory=dict
    )

    @property
    def decisions(self) -> tuple[WaveEnd | WaveStart | TakeOut, ...]:
        """All decisions, in the order in which they are appended."""
        return (*self.ends, *self.starts, *self.take_outs)


def plan(situation: Situation) -> WavePlan:
    """Return the plan of the next round."""
    stop = _check_stop(situation)
    starts: list[WaveStart] = []
    take_outs: list[TakeOut] = []
    ends: list[WaveEnd] = []
    explanations: dict[str, explanation.Explanation] = {}
    running = situation.waves.waves_by_pool
    for pool, wave in running.items():
        if pool not in situation.document.pools:
            continue
        end_reason = _end_reason(situation, wave)
        if end_reason is not None:
            ends.append(WaveEnd(wave.wave_id, pool, end_reason))
            explanations[pool] = _explain(
                pool, "ending", None, codes.ResultCode.OK, end_reason
            )
            continue
        take_out, explanations[pool] = _next_host(situation, wave, stop)
        if take_out is not None:
            take_outs.append(take_out)
    startable_waves = max_running_waves(situation.document) - len(running)
    for pool in _most_overdue_pools_first(situation):
        if pool in running:
            continue
        start, explanations[pool] = _next_wave(situation, pool, stop, startable_waves)
        if start is not None:
            starts.append(start)
            startable_waves -= 1
    return WavePlan(tuple(starts), tuple(take_outs), tuple(ends), explanations)


def max_running_waves(document: model.Document) -> int:
    """Return in how many pools a wave may run at a time."""
    share = POOLS_SHARE * document.weights.ratio("roll_out", "short_wait")
    # Rounded before ceil: 5 * (1 / 5 * 3.0) is slightly more than 3.
    return max(1, math.ceil(round(len(document.pools) * share, 6)))


def due_in_ms(document: model.Document, host: pools_state.HostState, now: int) -> int:
    """Return how long a host may still go without maintenance; negative if overdue."""
    interval_ms = int(document.maintenance.every_days * _DAY_MS)
    return host.maintained_ms + interval_ms - now


def is_due(document: model.Document, host: pools_state.HostState, now: int) -> bool:
    """Whether a host may join a wave."""
    slack_ms = document.maintenance.every_days * _DAY_MS * (1 - DUE_SHARE)
    return due_in_ms(document, host, now) <= slack_ms


def _check_stop(situation: Situation) -> codes.ResultCode:
    """Return ``OK``, or why no host of any pool may be taken out."""
    maintenance = situation.document.maintenance
    if maintenance.paused:
        return codes.ResultCode.WAVE_PAUSED
    return availability.check_list_age(maintenance, situation.observation)


def _describe_stop(situation: Situation, stop: codes.ResultCode) -> str:
    if stop == codes.ResultCode.WAVE_PAUSED:
        return "the document pauses maintenance"
    limit_s = situation.document.maintenance.host_list_max_age_s
    return (
        f"the host list is {situation.observation.list_age_s:.0f} s old, more than "
        f"{limit_s:.0f} s"
    )


def _check_host(situation: Situation, host: pools_state.HostState) -> codes.ResultCode:
    return budget.check_take_out(
        situation.document.pools[host.pool],
        situation.pools.hosts_of(host.pool),
        host,
        "maintenance",
        situation.document.maintenance.survive,
        situation.observation.unavailable_by_host_id,
    )


def _end_reason(situation: Situation, wave: waves_state.Wave) -> str | None:
    """Return why a wave ends, or None if it continues."""
    given_up: list[str] = []
    is_waiting = False
    for host_id in wave.host_ids:
        host = situation.pools.hosts_by_id.get(host_id)
        if host is None or host.pool != wave.pool or _is_moving(host):
            given_up.append(f"{host_id} left the pool")
        elif _is_out_for(host, wave):
            is_waiting = True
        elif host.maintained_ms < wave.started_ms:
            if host.failed_since_ms is not None:
                given_up.append(f"{host_id} failed")
            else:
                is_waiting = True
    if is_waiting:
        age_ms = situation.log_time_ms - wave.started_ms
        if age_ms <= WAVE_LIMIT_MS:
            return None
        return f"given up after {age_ms // 3_600_000} h with hosts not maintained"
    if given_up:
        return "all hosts done except: " + ", ".join(given_up)
    return "all hosts done"


def _is_moving(host: pools_state.HostState) -> bool:
    return host.out is not None and host.out.reason == "move"


def _is_out_for(host: pools_state.HostState, wave: waves_state.Wave) -> bool:
    return host.out is not None and host.out.wave_id == wave.wave_id


def _next_host(
    situation: Situation, wave: waves_state.Wave, stop: codes.ResultCode
) -> tuple[TakeOut | None, explanation.Explanation]:
    """Return the next host of a wave to take out, if any, with an explanation."""
    pool = wave.pool
    hosts = [
        situation.pools.hosts_by_id[host_id]
        for host_id in wave.host_ids
        if host_id in situation.pools.hosts_by_id
    ]
    out = [host.host_id for host in hosts if _is_out_for(host, wave)]
    done = [
        host for host in hosts if not host.out and host.maintained_ms >= wave.started_ms
    ]
    facts = [f"{len(done)} of {len(wave.host_ids)} hosts done"]
    if out:
        facts.append("out now: " + ", ".join(out))
    waits_for = "the hosts that are out to return" if out else None
    if stop != codes.ResultCode.OK:
        facts.insert(0, _describe_stop(situation, stop))
        waits_for = waits_for or "maintenance to be allowed again"
        return None, _explain(pool, "stopped", waits_for, stop, *facts)
    failed = [host.host_id for host in hosts if _has_failed_during(host, wave)]
    if failed:
        # The maintenance may be the cause, so no further host is taken out for it.
        facts.insert(0, "failed during the wave: " + ", ".join(failed))
        waits_for = "these hosts to recover, or the wave to be given up"
        return None, _explain(
            pool, "stopped", waits_for, codes.ResultCode.BUDGET_EXCEEDED, *facts
        )
    unavailable = situation.observation.unavailable_by_host_id
    candidates = [
        host
        for host in hosts
        if host.pool == pool
        and host.maintained_ms < wave.started_ms
        and budget.is_serving(host, unavailable)
    ]
    for host in _maintenance_order(situation, candidates):
        if _check_host(situation, host) == codes.ResultCode.OK:
            take_out = TakeOut(host.host_id, pool, host.revision, wave.wave_id)
            facts.insert(0, f"{host.host_id} is next")
            return take_out, _explain(
                pool, "running", waits_for, codes.ResultCode.OK, *facts
            )
    if not candidates:
        waits_for = waits_for or "hosts of the wave to be available again"
        return None, _explain(pool, "running", waits_for, codes.ResultCode.OK, *facts)
    facts.insert(0, _describe_budget(situation, pool))
    return None, _explain(
        pool,
        "waiting",
        waits_for or "hosts of the pool to be available again",
        codes.ResultCode.BUDGET_EXCEEDED,
        *facts,
    )


def _has_failed_during(host: pools_state.HostState, wave: waves_state.Wave) -> bool:
    """Return whether a host failed after this wave had taken it out."""
    if host.failed_since_ms is None or host.failed_since_ms < wave.started_ms:
        return False
    return _is_out_for(host, wave) or host.maintained_ms >= wave.started_ms


def _maintenance_order(
    situation: Situation, candidates: list[pools_state.HostState]
) -> Iterator[pools_state.HostState]:
    """Yield hosts by overdue days, then spread over failure domains.

    Each yielded host counts as out of service for the spread of the following ones.
    """
    unavailable = situation.observation.unavailable_by_host_id
    out_by_domain: collections.Counter[tuple[str, ...]] = collections.Counter()

    def count_as_out(host: pools_state.HostState) -> None:
        out_by_domain[(host.data_centre,)] += 1
        out_by_domain[(host.data_centre, host.rack)] += 1

    def key(host: pools_state.HostState) -> tuple[int, int, int, int, str]:
        slack_ms = due_in_ms(situation.document, host, situation.log_time_ms)
        return (
            min(slack_ms // _DAY_MS, 0),
            out_by_domain[(host.data_centre,)],
            out_by_domain[(host.data_centre, host.rack)],
            slack_ms,
            host.host_id,
        )

    for pool in {host.pool for host in candidates}:
        for host in situation.pools.hosts_of(pool):
            if not budget.is_serving(host, unavailable):
                count_as_out(host)
    remaining = list(candidates)
    while remaining:
        chosen = min(remaining, key=key)
        remaining.remove(chosen)
        count_as_out(chosen)
        yield chosen


def _next_wave(
    situation: Situation, pool: str, stop: codes.ResultCode, startable_waves: int
) -> tuple[WaveStart | None, explanation.Explanation]:
    """Return the wave to start in a pool without one, if any, with an explanation."""
    unavailable = situation.observation.unavailable_by_host_id
    due = [
        host
        for host in situation.pools.hosts_of(pool)
        if is_due(situation.document, host, situation.log_time_ms)
    ]
    ready = [host for host in due if budget.is_serving(host, unavailable)]
    if not due:
        return None, _explain(pool, "idle", None, codes.ResultCode.OK, "no host is due")
    facts = [f"{len(due)} hosts are due, {len(ready)} of them in service"]
    if stop != codes.ResultCode.OK:
        facts.insert(0, _describe_stop(situation, stop))
        return None, _explain(
            pool, "stopped", "maintenance to be allowed again", stop, *facts
        )
    if not any(_check_host(situation, h) == codes.ResultCode.OK for h in ready):
        facts.insert(0, _describe_budget(situation, pool))
        return None, _explain(
            pool,
            "waiting",
            "hosts of the pool to be available again",
            codes.ResultCode.BUDGET_EXCEEDED,
            *facts,
        )
    if startable_waves <= 0:
        limit = max_running_waves(situation.document)
        facts.insert(
            0, f"waves run in {limit} pools at a time, the most overdue pool first"
        )
        return None, _explain(
            pool,
            "waiting",
            "a wave of another pool to end",
            codes.ResultCode.OK,
            *facts,
        )
    count = situation.document.maintenance.max_wave_hosts
    chosen = itertools.islice(_maintenance_order(situation, ready), count)
    return WaveStart(pool, tuple(host.host_id for host in chosen)), _explain(
        pool, "starting", None, codes.ResultCode.OK, *facts
    )


def _most_overdue_pools_first(situation: Situation) -> list[str]:
    """Return the pools of the document, the one with the most overdue host first."""

    def key(pool: str) -> tuple[float, str]:
        hosts = situation.pools.hosts_of(pool)
        return min((host.maintained_ms for host in hosts), default=math.inf), pool

    return sorted(situation.document.pools, key=key)


def _describe_budget(situation: Situation, pool: str) -> str:
    hosts = situation.pools.hosts_of(pool)
    unavailable = situation.observation.unavailable_by_host_id
    serving = sum(budget.is_serving(host, unavailable) for host in hosts)
    minimum = situation.document.pools[pool].budget.min_available
    survive = situation.document.maintenance.survive
    after = "" if survive == "none" else f", also after the loss of one {survive}"
    return (
        f"the budget allows no further host out: {serving} of {len(hosts)} hosts are "
        f"in service and {minimum} must stay{after.replace('_', ' ')}"
    )


def _explain(
    pool: str,
    wave_state: str,
    waits_for: str | None,
    code: codes.ResultCode,
    *because: str,
) -> explanation.Explanation:
    return explanation.Explanation(
        f"wave of pool {pool}", wave_state, waits_for, because, code
    )
