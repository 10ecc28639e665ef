"""Callers that submit, cancel and ask, and note what they were told."""

import asyncio
import json
import random

from clementinespar import errors, http_calls
from clementinespar_adapter import standin
from soak import fleet

SUBMIT_GAP_S = 0.06
CALL_TIMEOUT_S = 3.0
ANSWER_LIMIT_S = 12.0  # a caller gives up on an unanswered submission after this
CANCEL_SHARE = 0.1
LASTING_SHARE = 0.05


class Callers:
    """What callers know of their jobs, by id."""

    accepted: set[str]
    refused: set[str]
    cancelled: set[str]
    open_answers: set[str]  # no answer says whether the job is stored
    wrong_states: list[str]

    def __init__(
        self, platform: standin.Platform, nodes: list[fleet.Node], chance: random.Random
    ) -> None:
        self.accepted = set()
        self.refused = set()
        self.cancelled = set()
        self.open_answers = set()
        self.wrong_states = []
        self._platform = platform
        self._nodes = nodes
        self._chance = chance
        self._caller = http_calls.HttpClient()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Submit jobs for some seconds, then wait for the open answers."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            task = asyncio.create_task(self._submit())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(SUBMIT_GAP_S)
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def ask(self, node: fleet.Node, method: str, path: str, body: bytes) -> int:
        """Make one call; 0 without an answer."""
        status, _ = await self._call(node, method, path, body)
        return status

    async def read_state(self, job_id: str) -> str:
        """Return the state that some node tells, or the status of its refusal."""
        node = self._chance.choice(self._nodes)
        status, told = await self._call(node, "GET", f"/q/{job_id}", b"")
        return str(told.get("state", status))

    async def _call(
        self, node: fleet.Node, method: str, path: str, body: bytes
    ) -> tuple[int, dict[str, object]]:
        try:
            response = await self._caller.call(
                node.callers, method, path, body, timeout_s=CALL_TIMEOUT_S
            )
        except errors.ClementinesparError:
            return 0, {}
        told = json.loads(response.body) if response.body else {}
        return response.status, told

    async def _submit(self) -> None:
        loop = asyncio.get_running_loop()
        job_id = f"{self._chance.getrandbits(64):016x}"
        is_lasting = self._chance.random() < LASTING_SHARE
        cpu = self._chance.choice([200, 500, 1200])
        step = {"count": self._chance.randint(1, 4), "cpu": cpu, "memMb": 10}
        steps = [{**step, "estMs": 250}, {**step, "estMs": 250, "after": [0]}]
        if is_lasting:
            steps = [{"count": 1, "cpu": 50, "longRunning": True}]
            self._platform.lasting.add(job_id)
        self._platform.cpu_by_task[job_id] = 50 if is_lasting else cpu
        body = json.dumps({"spec": "x", "steps": steps}).encode()
        end = loop.time() + ANSWER_LIMIT_S
        self.open_answers.add(job_id)
        while loop.time() < end:
            node = self._chance.choice(self._nodes)
            status = await self.ask(node, "POST", f"/q/{job_id}", body)
            if status == 200:
                self.accepted.add(job_id)
                self.open_answers.discard(job_id)
                break
            if status in (429, 503) and job_id in self.open_answers:
                # Only the first answer: after an unanswered try the job may be stored.
                self.refused.add(job_id)
                self.open_answers.discard(job_id)
                return
            await asyncio.sleep(0.2)
            if status in (0, 502, 504):
                self.open_answers.discard(job_id)
        if job_id in self.accepted and (
            is_lasting or self._chance.random() < CANCEL_SHARE
        ):
            await asyncio.sleep(self._chance.uniform(0.1, 3.0))
            await self._cancel(job_id)

    async def _cancel(self, job_id: str) -> None:
        for _ in range(20):
            node = self._chance.choice(self._nodes)
            if await self.ask(node, "DELETE", f"/q/{job_id}", b"") in (200, 410):
                self.cancelled.add(job_id)
                return
            await asyncio.sleep(0.3)
