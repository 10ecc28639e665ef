"""Simulated callers, which submit and cancel jobs and record the answers."""

import asyncio
import json
import random

from clementinespar import background, errors, http_calls
from clementinespar_adapter import standin
from soak import fleet

SUBMIT_INTERVAL_S = 0.06
CALL_TIMEOUT_S = 3.0
SUBMIT_TIMEOUT_S = 12.0  # after which a caller stops repeating a submission
REPEAT_SHARE = 0.4  # of the accepted jobs, where their requests arrive again
REPEAT_RANGE_S = (0.5, 8.0)  # after the answer
CANCEL_SHARE = 0.1
LASTING_SHARE = 0.05
KEPT_SHARE = 0.4  # of the lasting jobs; they are not cancelled
DEADLY_SHARE = 0.02  # of the jobs; one task crashes each worker that starts it
MAX_DEADLY_JOBS = 4  # in one seed, so that it becomes calm after the last fault
LASTING_CPU = 50  # thousandths of a core
FINITE_CPU = 50
MAX_FINITE_TASKS = 3  # of a job
# Of the sixteen kinds of lasting jobs; the kinds up to the second number are fillers.
SERVING_KINDS = 5
FILLER_KINDS = 10


class Callers:
    """Submits and cancels jobs, and records their ids by the answers that they got."""

    accepted: set[str]
    refused: set[str]
    cancelled: set[str]
    failed: set[str]  # reported as failed
    kept: set[str]  # accepted lasting jobs that are not cancelled
    not_stored: set[str]  # no attempt so far can have stored the job
    wrong_states: list[str]
    _repeat_rng: random.Random | None  # None: accepted jobs are not submitted again
    _repeats: background.Tasks

    def __init__(
        self,
        platform: standin.Platform,
        nodes: list[fleet.Node],
        rng: random.Random,
        repeat_rng: random.Random | None = None,
    ) -> None:
        self.accepted = set()
        self.refused = set()
        self.cancelled = set()
        self.failed = set()
        self.kept = set()
        self.not_stored = set()
        self.wrong_states = []
        self._platform = platform
        self._nodes = nodes
        self._rng = rng
        self._repeat_rng = repeat_rng
        self._repeats = background.Tasks()
        self._http_client = http_calls.HttpClient()

    async def close(self) -> None:
        """Close all connections."""
        await self._repeats.end()
        await self._http_client.close()

    async def run(self, seconds: float) -> None:
        """Submit jobs for some seconds, then wait for the pending submissions."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as submissions:
            while loop.time() < end:
                submissions.create_task(self._submit())
                await asyncio.sleep(SUBMIT_INTERVAL_S)

    async def call_for_status(
        self, node: fleet.Node, method: str, path: str, body: bytes
    ) -> int:
        """Make one call and return its status, 0 if it was not answered."""
        status, _ = await self._call(node, method, path, body)
        return status

    async def read_state(self, job_id: str) -> str:
        """Return the job's state from a random node, or the status of its refusal."""
        node = self._rng.choice(self._nodes)
        status, reply = await self._call(node, "GET", f"/q/{job_id}", b"")
        state = str(reply.get("state", status))
        if state == "failed":
            self.failed.add(job_id)
        return state

    async def _call(
        self, node: fleet.Node, method: str, path: str, body: bytes
    ) -> tuple[int, dict[str, object]]:
        try:
            response = await self._http_client.call(
                node.callers, method, path, body, timeout_s=CALL_TIMEOUT_S
            )
        except errors.ClementinesparError:
            return 0, {}
        reply = json.loads(response.body) if response.body else {}
        return response.status, reply

    async def _submit(self) -> None:
        job_id = f"{self._rng.getrandbits(64):016x}"
        is_lasting = self._rng.random() < LASTING_SHARE
        cpu = self._rng.choice([200, 500, 1200])
        count = self._rng.randint(1, 4)
        step: dict[str, object] = {"count": count, "cpu": cpu, "memMb": 10}
        # Taken from the id, so that a seed makes the same jobs as before.
        kind = int(job_id[0], 16)
        image = f"image-{kind % 4}"
        self._platform.image_by_job_id[job_id] = image
        step["image"] = image
        steps = [{**step, "estMs": 250}, {**step, "estMs": 250, "after": [0]}]
        if is_lasting:
            lasting: dict[str, object] = {
                "count": 1,
                "cpu": LASTING_CPU,
                "longRunning": True,
            }
            if kind < SERVING_KINDS:
                lasting |= {"image": "serving", "targetMs": standin.TARGET_MS}
                self._platform.serving.add(job_id)
            elif kind < FILLER_KINDS:
                lasting |= {"image": "filler", "fills": True}
                self._platform.fillers.add(job_id)
            steps = [lasting]
            self._platform.lasting.add(job_id)
        elif (
            self._rng.random() < DEADLY_SHARE
            and len(self._platform.deadly) < MAX_DEADLY_JOBS
        ):
            index = self._rng.randrange(count)
            self._platform.add_deadly(job_id, self._rng.randint(0, 1), index)
        if job_id in self._platform.fillers:
            cpu = 0  # a filler uses what others leave free
        elif is_lasting:
            cpu = LASTING_CPU
        self._platform.task_cpu_by_job_id[job_id] = cpu
        if not await self._hand_in(job_id, steps, self._rng):
            return
        if is_lasting and self._rng.random() < KEPT_SHARE:
            self.kept |= {job_id} & self.accepted
            return
        if job_id in self.accepted and (
            is_lasting or self._rng.random() < CANCEL_SHARE
        ):
            await asyncio.sleep(self._rng.uniform(0.1, 3.0))
            await self._cancel(job_id)

    async def submit_lasting(self, rng: random.Random) -> None:
        """Submit a job with a lasting task, which is not cancelled."""
        job_id = f"{rng.getrandbits(64):016x}"
        self._platform.lasting.add(job_id)
        self._platform.task_cpu_by_job_id[job_id] = LASTING_CPU
        step: dict[str, object] = {"count": 1, "cpu": LASTING_CPU, "longRunning": True}
        await self._hand_in(job_id, [step], rng)
        self.kept |= {job_id} & self.accepted

    async def submit_finite(
        self, job_id: str, task_s: float, rng: random.Random
    ) -> None:
        """Submit a job whose tasks run for a given time."""
        self._platform.task_s_by_job_id[job_id] = task_s
        self._platform.task_cpu_by_job_id[job_id] = FINITE_CPU
        step: dict[str, object] = {
            "count": rng.randint(1, MAX_FINITE_TASKS),
            "cpu": FINITE_CPU,
            "estMs": int(task_s * 1000),
        }
        await self._hand_in(job_id, [step], rng)

    async def _hand_in(
        self, job_id: str, steps: list[dict[str, object]], rng: random.Random
    ) -> bool:
        """Submit a job until it is accepted or it is too late; False if refused."""
        loop = asyncio.get_running_loop()
        body = json.dumps({"spec": "x", "steps": steps}).encode()
        end = loop.time() + SUBMIT_TIMEOUT_S
        self.not_stored.add(job_id)
        while loop.time() < end:
            node = rng.choice(self._nodes)
            status = await self.call_for_status(node, "POST", f"/q/{job_id}", body)
            if status == 200:
                self.accepted.add(job_id)
                self.not_stored.discard(job_id)
                if self._repeat_rng and self._repeat_rng.random() < REPEAT_SHARE:
                    delay_s = self._repeat_rng.uniform(*REPEAT_RANGE_S)
                    self._repeats.start(self._repeat(job_id, body, delay_s))
                break
            if status in (429, 503) and job_id in self.not_stored:
                # Does not count after an unanswered attempt, which may have stored it.
                self.refused.add(job_id)
                self.not_stored.discard(job_id)
                return False
            await asyncio.sleep(0.2)
            if status in (0, 502, 504):
                self.not_stored.discard(job_id)
        return True

    async def _repeat(self, job_id: str, body: bytes, delay_s: float) -> None:
        """Let the request of an accepted job arrive again."""
        await asyncio.sleep(delay_s)
        node = self._rng.choice(self._nodes)
        await self.call_for_status(node, "POST", f"/q/{job_id}", body)

    async def _cancel(self, job_id: str) -> None:
        for _ in range(20):
            node = self._rng.choice(self._nodes)
            if await self.call_for_status(node, "DELETE", f"/q/{job_id}", b"") in (
                200,
                410,
            ):
                self.cancelled.add(job_id)
                return
            await asyncio.sleep(0.3)
