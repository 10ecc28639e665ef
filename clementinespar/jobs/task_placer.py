"""Starts the waiting tasks of a job on workers with enough free capacity."""

import asyncio
import collections

from clementinespar.jobs import (
    advised_capacity,
    crash_counts,
    model,
    owner_quotas,
    placement,
    recorded_starts,
    services,
    state,
    team_use,
    telemetry,
    tickets,
    worker_run,
    worker_session,
)


class TaskPlacer:
    """Places tasks for the owner of a pool, which decides the order of the jobs."""

    _epoch: int
    _sessions_by_id: dict[str, worker_session.WorkerSession]
    _tickets: tickets.TicketCache
    _quotas: owner_quotas.OwnerQuotas
    _starts: recorded_starts.RecordedStarts
    # Worker from which a task was moved away, and the time until which it is avoided.
    _left_by_task: dict[model.TaskKey, tuple[str, float]]

    def __init__(
        self,
        epoch: int,
        sessions_by_id: dict[str, worker_session.WorkerSession],
        ticket_cache: tickets.TicketCache,
        log_event: services.EventLog,
        metrics: telemetry.JobMetrics,
        quotas: owner_quotas.OwnerQuotas,
    ) -> None:
        self._epoch = epoch
        self._sessions_by_id = sessions_by_id
        self._tickets = ticket_cache
        self._starts = recorded_starts.RecordedStarts(log_event, metrics)
        self._quotas = quotas
        self._left_by_task = {}

    def avoid(self, key: model.TaskKey, worker_id: str, until: float) -> None:
        """Place a task elsewhere than on the worker that it leaves, if possible."""
        now = asyncio.get_running_loop().time()
        self._left_by_task = {
            left_key: left
            for left_key, left in self._left_by_task.items()
            if left[1] > now
        }
        self._left_by_task[key] = (worker_id, until)

    def send_stored(self, now: float) -> None:
        """Send the starts that had to be stored first, as far as they are."""
        self._starts.send_stored(now)

    def place(
        self,
        job: state.JobProgress,
        rank: tuple[int, int, float],
        free_capacity: placement.FreeCapacity,
        now: float,
    ) -> None:
        """Start the ready tasks of a job, as far as the free capacity allows.

        Parameters
        ----------
        rank : tuple
            As `placement.rank` returns it; calls to the adviser go by it as well.
        """
        if not free_capacity.has_any():
            return
        is_on_probation = crash_counts.is_on_probation(job)
        for occurrence in job.occurrences.values():
            for step in occurrence.ready_steps():
                indexes = {
                    index
                    for index in step.waiting
                    if crash_counts.is_ready(job, step.tasks[index], now)
                }
                if indexes and is_on_probation and not step.spec.is_gang:
                    indexes = crash_counts.choose_alone(job, step, indexes)
                if indexes:
                    self._place_step(job, rank, step, indexes, free_capacity, now)

    def _place_step(
        self,
        job: state.JobProgress,
        rank: tuple[int, int, float],
        step: state.StepState,
        indexes: set[int],
        free_capacity: placement.FreeCapacity,
        now: float,
    ) -> None:
        advised: advised_capacity.AdvisedCapacity | None = None
        if job.spec.needs_advice:
            advised = self._tickets.find_advised(job.spec.queue, step, free_capacity)
            free_capacity = advised.ticketed
        if step.spec.is_gang:
            if len(indexes) == len(step.tasks):
                self._place_gang(job, rank, step, free_capacity, advised)
            return
        counts = self.count_per_worker(job, step)
        fits = self._quotas.shares.fits
        left = len(indexes)
        for index in sorted(indexes):
            task = step.tasks[index]
            number = job.next_run(task, self._epoch)
            if not job.may_use(number, self._epoch):
                continue
            if not fits(job.spec.team, step.spec):
                if (
                    self._is_lacking(job)
                    or free_capacity.choose(step.spec, counts, set()) is not None
                ):
                    self._note_lack(job, step, left)
                break
            is_isolated = crash_counts.is_isolated(task, now)
            choices = free_capacity
            quiet: set[str] | None = None
            if is_isolated:
                quiet = self._find_quiet(now)
                choices = free_capacity.restrict(quiet)
            avoided = self._find_avoided(step, task, now)
            session = choices.choose(step.spec, counts, avoided)
            if advised is not None and (
                session is None or session.entry.worker_id in avoided
            ):
                advised.note_lack(step.spec, counts, avoided, quiet)
                if session is not None and advised.wanted and advised.is_answering:
                    continue  # until the adviser has said who else may take it
            if session is None:
                if not task.failed_on and not is_isolated:
                    break
                continue
            if is_isolated:
                session.isolated_until = now + crash_counts.PRIME_SUSPECT_S
            counts[session.entry.worker_id] += 1
            ticket = _find_ticket(advised, session)
            run = self._add_run(job, step, task, number, session)
            self._starts.submit(
                job, [recorded_starts.Start(task, run, ticket, is_isolated)]
            )
            left -= 1
        self._ask_for_advice(job, rank, step, advised, counts, left)

    def _ask_for_advice(
        self,
        job: state.JobProgress,
        rank: tuple[int, int, float],
        step: state.StepState,
        advised: advised_capacity.AdvisedCapacity | None,
        counts: collections.Counter[str],
        left: int,
    ) -> None:
        """Ask the adviser about workers that the waiting tasks of a step need."""
        if advised is None or not left:
            return
        need = advised.find_need(step.spec, counts, left)
        if need is not None:
            self._tickets.ask(job.spec.queue, step, need, rank)

    def _is_lacking(self, job: state.JobProgress) -> bool:
        """Whether the team lacks room in this round, as an earlier step has shown.

        A look for a worker for each step that waits would cost too much.
        """
        return job.spec.team in self._quotas.shares.lack

    def _find_avoided(
        self, step: state.StepState, task: state.TaskState, now: float
    ) -> set[str]:
        """Return the workers that get a task only if no other can take it."""
        avoided = task.failed_on | self._find_endangered(step, task)
        if task.key in self._left_by_task:
            worker_id, until = self._left_by_task[task.key]
            if now < until:
                avoided = avoided | {worker_id}
        return avoided

    def explain_choice(
        self,
        job: state.JobProgress,
        step: state.StepState,
        free_capacity: placement.FreeCapacity,
        now: float,
    ) -> list[placement.Candidate]:
        """Return the workers for the first task of a step that has not started.

        Nothing is changed or sent, so tickets of the adviser are left out.
        """
        if step.spec.is_gang:
            return free_capacity.explain_gang(step.spec, len(step.tasks))
        task = step.tasks[min(step.waiting)]
        return free_capacity.explain_choice(
            step.spec,
            self.count_per_worker(job, step),
            self._find_avoided(step, task, now),
        )

    def is_refused(
        self,
        job: state.JobProgress,
        step: state.StepState,
        session: worker_session.WorkerSession,
    ) -> bool:
        """Whether the adviser has refused a ticket for a step on a worker."""
        return job.spec.needs_advice and self._tickets.is_refused(step, session)

    def share_fits(self, job: state.JobProgress, step: state.StepState) -> bool:
        """Whether the team's share has room for the next start of a step."""
        count = len(step.tasks) if step.spec.is_gang else 1
        return self._quotas.shares.fits(job.spec.team, step.spec, count)

    def _note_lack(
        self, job: state.JobProgress, step: state.StepState, count: int
    ) -> None:
        """Ask for room in the team's share for tasks that a worker could take."""
        need = team_use.needs(step.spec)
        wanted = need.times(count)
        least = wanted if step.spec.is_gang else need
        self._quotas.note_lack(job.spec.team, wanted, least)

    def has_share(self, job: state.JobProgress, step: state.StepState) -> bool:
        """Whether a task that is stopped finds room in its team's share again."""
        return self._quotas.shares.keeps_room(job.spec.team, step.spec)

    def _find_quiet(self, now: float) -> set[str]:
        """Return the workers on which no task has just started."""
        return {
            worker_id
            for worker_id, session in self._sessions_by_id.items()
            if all(
                now - run.started_at > crash_counts.PRIME_SUSPECT_S
                for run in session.runs.values()
            )
        }

    def _find_endangered(
        self, step: state.StepState, task: state.TaskState
    ) -> set[str]:
        """Return workers to spare, as a suspect task may crash them.

        Suspects stay away from lasting tasks and from each other.
        """
        is_suspect = bool(task.crashed_runs)
        if not is_suspect and not step.spec.is_lasting:
            return set()
        return {
            worker_id
            for worker_id, session in self._sessions_by_id.items()
            if any(
                run.is_suspect or (is_suspect and run.spec.is_lasting)
                for run in session.runs.values()
            )
        }

    def _place_gang(
        self,
        job: state.JobProgress,
        rank: tuple[int, int, float],
        step: state.StepState,
        free_capacity: placement.FreeCapacity,
        advised: advised_capacity.AdvisedCapacity | None,
    ) -> None:
        """Start all members under one run number, or none of them."""
        number = max(job.next_run(task, self._epoch) for task in step.tasks)
        if not job.may_use(number, self._epoch):
            return
        size = len(step.tasks)
        choices = free_capacity if advised is None else advised
        if not self._quotas.shares.fits(job.spec.team, step.spec, size):
            if (
                self._is_lacking(job)
                or choices.choose_gang(step.spec, size) is not None
            ):
                self._note_lack(job, step, size)
            self._ask_for_advice(job, rank, step, advised, collections.Counter(), size)
            return
        chosen = choices.choose_gang(step.spec, size)
        if chosen is None:
            self._ask_for_advice(job, rank, step, advised, collections.Counter(), size)
            return
        saved = max((task.saved for task in step.tasks), default="")
        starts = []
        for task, session in zip(step.tasks, chosen, strict=True):
            task.saved = saved
            ticket = _find_ticket(advised, session)
            run = self._add_run(job, step, task, number, session)
            starts.append(recorded_starts.Start(task, run, ticket))
        self._starts.submit(job, starts)

    def count_per_worker(
        self, job: state.JobProgress, step: state.StepState
    ) -> collections.Counter[str]:
        """Return the number of runs of a step on each worker id.

        Only steps that are lasting or have a limit per worker need it; for others the
        result is empty.
        """
        counts: collections.Counter[str] = collections.Counter()
        if not step.spec.max_per_worker and not step.spec.is_lasting:
            return counts
        sample = step.tasks[0].key
        for session in self._sessions_by_id.values():
            for run in session.runs.values():
                key = run.key
                if (
                    key.job_id == sample.job_id
                    and key.step == sample.step
                    and key.occurrence == sample.occurrence
                ):
                    counts[session.entry.worker_id] += 1
        return counts

    def _add_run(
        self,
        job: state.JobProgress,
        step: state.StepState,
        task: state.TaskState,
        number: int,
        session: worker_session.WorkerSession,
    ) -> worker_run.Run:
        """Track a run whose start is to be sent."""
        now = asyncio.get_running_loop().time()
        run = worker_run.Run(task.key, number, step.spec, session, now, job.spec.team)
        run.is_suspect = bool(task.crashed_runs)
        task.last_run = number
        task.open_runs.add(number)
        step.waiting.discard(task.key.index)
        session.add_run(run)
        job.is_placed = True
        return run


def _find_ticket(
    advised: advised_capacity.AdvisedCapacity | None,
    session: worker_session.WorkerSession,
) -> str:
    """Return the ticket for a start on a worker; empty if none is needed."""
    if advised is None:
        return ""
    return advised.tickets_by_worker_id[session.entry.worker_id]
