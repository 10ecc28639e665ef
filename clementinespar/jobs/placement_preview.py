"""Where a job would be placed now, without submitting it.

The answer comes from the code that places (`placement_round.py`, `task_placer.py`,
`placement.py`), called by the owner of the pool with a job that it does not keep.
"""

import asyncio
import dataclasses
import json
import time
from typing import Any

import pydantic

from clementinespar import codes, errors
from clementinespar.jobs import (
    admission,
    command_intake,
    demand,
    fair_share,
    model,
    owner_quotas,
    placement,
    placement_round,
    session_table,
    state,
    task_placer,
    team_rate,
    wait_watch,
    worker_session,
)

# Id of a job without one. It is not an admission probe, which is never rejected.
DEFAULT_JOB_ID = "0" * 15 + "1"
# Of all steps together. A job is built in the memory of the owner, about 1 kB a task.
MAX_TASKS = 10_000

_ADAPTER = pydantic.TypeAdapter(model.JobSpec)
_JOB_FIELDS = frozenset(field.name for field in dataclasses.fields(model.JobSpec))
_STEP_FIELDS = frozenset(field.name for field in dataclasses.fields(model.StepSpec))
_SIZES = (
    *("cpu_millis", "memory_mb", "gpus", "estimate_ms", "max_per_worker"),
    *("latency_target_ms", "may_miss"),
)


def parse_request(
    body: bytes, configuration: model.JobConfiguration | None
) -> model.JobSpec:
    """Return the job of a question, with the policy of its queue.

    Raises
    ------
    errors.ClementinesparError
        With ``JOB_INVALID``, ``JOB_TOO_LARGE``, ``QUEUE_UNKNOWN``, ``TEAM_UNKNOWN`` or
        ``KEY_UNKNOWN`` (the queue needs a team); ``NOT_READY`` without a configuration.
    """
    if configuration is None:
        raise errors.ClementinesparError(
            codes.ResultCode.NOT_READY, "the node has not read the configuration yet"
        )
    if len(body) > configuration.max_body_bytes:
        raise errors.ClementinesparError(
            codes.ResultCode.JOB_TOO_LARGE,
            f"expected at most {configuration.max_body_bytes} bytes",
        )
    try:
        fields = json.loads(body)
        if not isinstance(fields, dict) or not fields.keys() <= {
            *("queue", "team", "job")
        }:
            raise ValueError("expected an object of queue, team and job")
        queue_name, team = fields.get("queue"), fields.get("team") or ""
        if not isinstance(queue_name, str) or not isinstance(team, str):
            raise ValueError("queue and team must be names")
    except (ValueError, RecursionError) as error:
        raise _invalid(str(error)) from error
    queue = configuration.queues_by_name.get(queue_name)
    if queue is None:
        raise errors.ClementinesparError(
            codes.ResultCode.QUEUE_UNKNOWN,
            f"the configuration has no queue {queue_name!r}",
        )
    if team and team not in configuration.teams_by_name:
        raise errors.ClementinesparError(
            codes.ResultCode.TEAM_UNKNOWN, f"the configuration has no team {team!r}"
        )
    if not configuration.needs_key(queue):
        team = ""
    elif not team:
        raise errors.ClementinesparError(
            codes.ResultCode.KEY_UNKNOWN,
            f"calls of queue {queue.name!r} need the key of a team; name the team",
        )
    return _parse_job(fields.get("job"), queue, team)


def _parse_job(job: object, queue: model.Queue, team: str) -> model.JobSpec:
    """Return a job in the stored form of `state.encode_spec`; its queue has policy."""
    if not isinstance(job, dict) or not isinstance(job.get("steps"), list):
        raise _invalid("job: expected an object with a list of steps")
    unknown = job.keys() - _JOB_FIELDS
    for step in job["steps"]:
        if isinstance(step, dict):
            unknown |= step.keys() - _STEP_FIELDS
    if unknown:
        raise _invalid(f"unknown fields: {', '.join(sorted(unknown))}")
    policy: dict[str, object] = {
        "queue": queue.name,
        "pool": queue.pool,
        "accepted_ms": int(time.time() * 1000),
        "max_attempts": max(1, queue.max_attempts),
        "priority": queue.priority,
        "stretch": queue.stretch,
        "objective_ms": queue.objective_ms,
        "needs_advice": queue.needs_advice,
        "team": team,
    }
    defaults = {"job_id": DEFAULT_JOB_ID, "payload": ""}
    try:
        spec = _ADAPTER.validate_json(
            json.dumps({**defaults, **job, **policy}), strict=True
        )
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = ".".join(map(str, first["loc"]))
        raise _invalid(f"{place}: {first['msg']}") from error
    if not spec.steps:
        raise _invalid("steps: at least one is needed")
    if sum(step_spec.task_count for step_spec in spec.steps) > MAX_TASKS:
        raise _invalid(f"steps: expected at most {MAX_TASKS} tasks in all")
    for number, step_spec in enumerate(spec.steps):
        if step_spec.task_count < 1:
            raise _invalid(f"steps.{number}.task_count: expected 1 or more")
        if any(not 0 <= earlier < number for earlier in step_spec.after):
            raise _invalid(f"steps.{number}.after: expected numbers of earlier steps")
        for name in _SIZES:
            if (getattr(step_spec, name) or 0) < 0:
                raise _invalid(f"steps.{number}.{name}: expected 0 or more")
    return spec


def _invalid(message: str) -> errors.ClementinesparError:
    return errors.ClementinesparError(codes.ResultCode.JOB_INVALID, message)


class PlacementPreview:
    """Answers of the owner of a partition; nothing is kept or sent."""

    def __init__(
        self,
        placement_round_: placement_round.PlacementRound,
        placer: task_placer.TaskPlacer,
        sessions: session_table.SessionTable,
        intake: command_intake.CommandIntake,
        run_times: demand.RunTimes,
        quotas: owner_quotas.OwnerQuotas,
        waits: wait_watch.WaitWatch,
        team_rates: team_rate.TeamRates,
    ) -> None:
        self._round = placement_round_
        self._placer = placer
        self._sessions = sessions
        self._intake = intake
        self._run_times = run_times
        self._quotas = quotas
        self._waits = waits
        self._team_rates = team_rates

    def describe(self, spec: model.JobSpec) -> dict[str, Any]:
        """Return the order, wait and workers of a job that would arrive now."""
        now = asyncio.get_running_loop().time()
        now_ms = time.time() * 1000
        job = state.JobProgress(spec)
        self._intake.set_deadline(job)
        if spec.occurrences and spec.first_due_ms <= now_ms:
            # One is enough to show; a job may have any number of due ones.
            job.occurrences[0] = state.Occurrence(spec, 0)
            job.occurrences[0].is_stored = True
        job.is_over_rate = self._team_rates.would_exceed(spec.team, now_ms)
        team: dict[str, object] | None = None
        if spec.team:
            cap = self._quotas.find_caps().get(spec.team)
            team = {"name": spec.team, "cap": cap, "has_room": None}
            team.update(self._quotas.describe(spec.team))
        preview = self._round.preview(job, now)
        wait_ms, is_in_time = 0.0, True
        if not job.is_lasting and not spec.occurrences:
            wait_ms, is_in_time = self._waits.estimate(job, now)
        work = fair_share.total(map(fair_share.ready_work, preview.before))
        steps = [s for o in job.occurrences.values() for s in o.ready_steps()]
        workers: list[dict[str, object]] = []
        if steps:
            workers = self._describe_workers(job, steps[0], preview, now)
            if team is not None:
                team["has_room"] = self._placer.share_fits(job, steps[0])
        return {
            "order": {
                "class": placement.CLASS_NAMES[preview.kind],
                "priority": spec.priority,
                "slack_ms": round((job.deadline - now) * 1000)
                - round(job.remaining_ms(self._run_times.estimate_ms)),
                "is_over_rate": job.is_over_rate,
                "is_above_share": preview.key.is_above,
                "is_contended": preview.is_contended,
                "is_held_back": preview.is_held_back,
            },
            "before": {
                "jobs": len(preview.before),
                **dict(zip(("cpu_millis", "memory_mb", "gpus"), work, strict=True)),
            },
            "wait": {
                "wait_ms": round(wait_ms),
                "start_ms": round(now_ms + wait_ms),
                "is_in_time": is_in_time,
            },
            "team": team,
            "step": steps[0].tasks[0].key.step if steps else None,
            "needs_advice": spec.needs_advice,
            "workers": workers,
        }

    def _describe_workers(
        self,
        job: state.JobProgress,
        step: state.StepState,
        preview: placement_round.Preview,
        now: float,
    ) -> list[dict[str, object]]:
        candidates = self._placer.explain_choice(job, step, preview.free_capacity, now)
        for session in self._sessions.in_pool(job.spec.pool):
            absence = self._sessions.find_absence(session, now)
            if absence is not None:
                candidates.append(placement.Candidate(session, absence))
        return [_describe_candidate(candidate) for candidate in candidates]


def _describe_candidate(candidate: placement.Candidate) -> dict[str, object]:
    session: worker_session.WorkerSession = candidate.session
    reason = candidate.reason
    return {
        "worker": session.entry.worker_id,
        "verdict": "chosen" if reason is None else reason.value,
        "rack": session.entry.rack,
        "free_cpu_millis": session.free_cpu,
        "free_memory_mb": session.free_memory,
        "free_gpus": session.free_gpus,
    }


def describe_rejection(
    rejection: admission.Rejection | None,
) -> dict[str, object] | None:
    """Return the answer that a caller would get now, or None if it is accepted."""
    if rejection is None:
        return None
    code = codes.ResultCode.POOL_OVERLOADED
    if rejection.is_team:
        code = codes.ResultCode.TEAM_OVERLOADED
    return {
        "status": 429,
        "code": int(code),
        "name": code.name,
        "retry_after_s": rejection.return_s,
        "wait_ms": round(rejection.wait_ms),
    }


def find_state(reply: dict[str, Any]) -> str:
    """Return in one sentence what would become of the job."""
    rejection, team, order = reply["rejection"], reply["team"], reply["order"]
    if rejection is not None:
        return f"would be rejected with {rejection['code']} {rejection['name']}"
    if reply["step"] is None:
        return "would be accepted; no occurrence is due now"
    if not reply["owner"]["is_confirmed"]:
        return "would wait until the ownership of the pool is confirmed"
    if team is not None and not team["has_room"]:
        return "would wait for its team's share"
    if order["is_held_back"]:
        return "would wait while its pool lends hosts"
    chosen = [w["worker"] for w in reply["workers"] if w["verdict"] == "chosen"]
    if not chosen:
        return "would wait for room"
    if reply["needs_advice"]:
        return f"would start on {', '.join(chosen)}, given tickets of the adviser"
    return f"would start on {', '.join(chosen)}"
