"""What callers ask of jobs, at any node.

A submission and a cancellation are commands on the store; their acknowledgement is the
store's. States are asked of the owner of the pool, here or at a peer.
"""

import asyncio
import dataclasses
import json
import math
import urllib.parse
from collections.abc import Iterable
from typing import Any

from clementinespar import codes, errors, http_calls
from clementinespar.jobs import model, ownership, services, state

PEER_TIMEOUT_S = 0.5
OWNER_RETRY_S = 0.15  # a change of owner takes about a second
WAITING_MAX_AGE_S = 1.0  # callers may be told a count that is 2 s old
STORE_RETRY_S = 0.1
# A store that has answered no call for this long is taken as away; calls to it are
# given up after the same time. A slow store may need most of it.
SILENT_STORE_S = 1.0


class JobService:
    """Submission, state and cancellation of jobs."""

    keeper: ownership.OwnershipKeeper
    configuration: services.ConfigurationSource
    _store: services.JobStore
    _caller: http_calls.HttpClient
    _waiting_by_queue: dict[str, tuple[float, int]]
    _sent_at: dict[str, float]  # job id: event-loop time of its append in flight
    _lost_at: float  # event-loop time of the first append without an answer
    _answered_at: float  # event-loop time of the newest answer to an append

    def __init__(
        self,
        keeper: ownership.OwnershipKeeper,
        configuration: services.ConfigurationSource,
        store: services.JobStore,
        caller: http_calls.HttpClient,
    ) -> None:
        self.keeper = keeper
        self.configuration = configuration
        self._store = store
        self._caller = caller
        self._waiting_by_queue = {}
        self._sent_at = {}
        self._lost_at = -math.inf
        self._answered_at = -math.inf

    async def submit(
        self, pool: str, spec: model.JobSpec, timeout_s: float
    ) -> codes.ResultCode:
        """Store a job; ``OK`` once it is durable.

        Returns ``STORE_REFUSED`` if it certainly is not stored and ``STORE_UNANSWERED``
        if it may be. While the store is away the answer comes early, so that the caller
        can try another node or come back.
        """
        if self._is_store_away():
            return codes.ResultCode.STORE_REFUSED
        record = services.KeyedRecord("j" + spec.job_id, state.encode_spec(spec))
        loop = asyncio.get_running_loop()
        self._sent_at[spec.job_id] = loop.time()
        command = asyncio.create_task(self._command(pool, record, timeout_s))
        try:
            while True:
                done, _ = await asyncio.wait({command}, timeout=SILENT_STORE_S)
                if done:
                    return command.result()
                if self._is_store_away():
                    return codes.ResultCode.STORE_UNANSWERED
        finally:
            command.cancel()
            self._sent_at.pop(spec.job_id, None)

    def _is_store_away(self) -> bool:
        """Whether calls of this node to the store have gone without answers."""
        now = asyncio.get_running_loop().time()
        answered_at = self._store_answered_at()
        unanswered = [self._lost_at, *self._sent_at.values()]
        if self.keeper.unanswered_since is not None:
            unanswered.append(self.keeper.unanswered_since)
        return any(
            sent_at > answered_at and now - sent_at >= SILENT_STORE_S
            for sent_at in unanswered
        )

    def _store_answered_at(self) -> float:
        reached_at = self.keeper.reached_at
        return max(self._answered_at, -math.inf if reached_at is None else reached_at)

    async def cancel(
        self, pool: str, job_id: str, timeout_s: float
    ) -> codes.ResultCode:
        """Store a cancellation; the job's owner stops what runs."""
        record = services.KeyedRecord("c" + job_id, b"1")
        return await self._command(pool, record, timeout_s)

    async def describe(
        self, pool: str, job_id: str, timeout_s: float
    ) -> model.JobState | None:
        """Return a job's state, or None if no pool knows it.

        Raises
        ------
        errors.ClementinesparError
            No owner could be asked in time.
        """
        told = await self._ask_owner(
            ownership.partition_of(pool), f"/jobs/{job_id}", timeout_s
        )
        if told["state"] is not None:
            return model.JobState(told["state"])
        # A queue may have moved to another pool since the job came.
        for partition in self._other_partitions(pool):
            told = await self._ask_owner(partition, f"/jobs/{job_id}", timeout_s)
            if told["state"] is not None:
                return model.JobState(told["state"])
        return None

    async def count_waiting(self, queue: model.Queue, timeout_s: float) -> int:
        """Return the accepted jobs of a queue of which no task has started."""
        loop = asyncio.get_running_loop()
        held = self._waiting_by_queue.get(queue.name)
        if held is not None and loop.time() - held[0] < WAITING_MAX_AGE_S:
            return held[1]
        name = urllib.parse.quote(queue.name, safe="")
        told = await self._ask_owner(
            ownership.partition_of(queue.pool), f"/waiting/{name}", timeout_s
        )
        count = int(told["waiting"])
        self._waiting_by_queue[queue.name] = (loop.time(), count)
        return count

    async def evacuate(
        self,
        pool: str,
        worker_id: str,
        kept_s: float,
        urgency: model.EvacuationUrgency,
    ) -> bool:
        """Ask the owner of a pool to free a worker; True once it is free."""
        name = urllib.parse.quote(worker_id, safe="")
        told = await self._ask_owner(
            ownership.partition_of(pool),
            f"/evacuate/{name}?kept_s={kept_s}&urgency={urgency.value}",
            PEER_TIMEOUT_S,
        )
        return bool(told["is_free"])

    async def describe_load(self, pool: str) -> dict[str, Any]:
        """Return the demand and use of a pool as its owner sees them."""
        return await self._ask_owner(
            ownership.partition_of(pool),
            f"/load/{urllib.parse.quote(pool, safe='')}",
            PEER_TIMEOUT_S,
        )

    async def explain(self, job_id: str) -> dict[str, Any]:
        """Return why a job is in its state; raises with ``JOB_UNKNOWN``."""
        configuration = self.configuration.current
        pools = () if configuration is None else configuration.pools_by_name
        for partition in sorted({ownership.partition_of(pool) for pool in pools}):
            told = await self._ask_owner(
                partition, f"/explain/{job_id}", PEER_TIMEOUT_S
            )
            if told["state"] is not None:
                return told
        raise errors.ClementinesparError(
            codes.ResultCode.JOB_UNKNOWN, "no pool knows this job"
        )

    def _other_partitions(self, pool: str) -> Iterable[int]:
        configuration = self.configuration.current
        if configuration is None:
            return ()
        return sorted(
            {ownership.partition_of(name) for name in configuration.pools_by_name}
            - {ownership.partition_of(pool)}
        )

    async def _command(
        self, pool: str, record: services.KeyedRecord, timeout_s: float
    ) -> codes.ResultCode:
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        may_be_stored = False
        while True:
            sent_at = loop.time()
            try:
                await self._store.append(
                    services.Topic.COMMANDS, ownership.partition_of(pool), [record]
                )
            except errors.ClementinesparError as error:
                if error.code is codes.ResultCode.STORE_UNANSWERED:
                    may_be_stored = True
                    if self._lost_at <= self._store_answered_at():
                        self._lost_at = sent_at
            else:
                self._answered_at = loop.time()
                return codes.ResultCode.OK
            if not may_be_stored:
                return codes.ResultCode.STORE_REFUSED
            if loop.time() + STORE_RETRY_S > end:
                return codes.ResultCode.STORE_UNANSWERED
            await asyncio.sleep(STORE_RETRY_S)

    async def _ask_owner(
        self, partition: int, path: str, timeout_s: float
    ) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        is_fresh = False
        while True:
            try:
                return await self._ask_once(partition, path, is_fresh)
            except errors.ClementinesparError as error:
                if loop.time() + OWNER_RETRY_S > end:
                    raise errors.ClementinesparError(
                        codes.ResultCode.JOB_OWNER_UNKNOWN, error.message
                    ) from error
            is_fresh = True
            await asyncio.sleep(OWNER_RETRY_S)

    async def _ask_once(
        self, partition: int, path: str, is_fresh: bool
    ) -> dict[str, Any]:
        if partition in self.keeper.owners_by_partition:
            return self.answer_peer(partition, path)
        member = await self.keeper.find_owner(partition, is_fresh)
        if member is None:
            raise errors.ClementinesparError(
                codes.ResultCode.JOB_OWNER_UNKNOWN, "the partition has no owner"
            )
        address = member.partition("/")[0]
        response = await self._caller.call(
            address, "GET", f"/{partition}{path}", timeout_s=PEER_TIMEOUT_S
        )
        if response.status != 200:
            raise errors.ClementinesparError(
                codes.ResultCode.JOB_OWNER_UNKNOWN,
                f"the peer answered with status {response.status}",
            )
        told: dict[str, Any] = json.loads(response.body)
        return told

    def answer_peer(self, partition: int, path: str) -> dict[str, Any]:
        """Answer a question as the owner of a partition.

        Raises
        ------
        errors.ClementinesparError
            This node is not the owner, or has not loaded the partition.
        """
        owner = self.keeper.owners_by_partition.get(partition)
        if owner is None or owner.is_lost or not owner.is_loaded:
            raise errors.ClementinesparError(
                codes.ResultCode.JOB_OWNER_UNKNOWN, "this node is not the owner"
            )
        parts = urllib.parse.urlsplit(path)
        _, kind, name = parts.path.split("/", 2)
        name = urllib.parse.unquote(name)
        if kind == "jobs":
            job_state = owner.describe(name)
            return {"state": None if job_state is None else job_state.value}
        if kind == "explain":
            explained = owner.explain(name)
            if explained is None:
                return {"state": None}
            return {**dataclasses.asdict(explained), "code": int(explained.code)}
        if kind == "waiting":
            return {"waiting": owner.count_waiting(name)}
        if kind == "evacuate":
            query = urllib.parse.parse_qs(parts.query)
            kept_s = float(query["kept_s"][0])
            urgency = model.EvacuationUrgency(query["urgency"][0])
            return {"is_free": owner.evacuate(name, kept_s, urgency)}
        if kind == "load":
            return owner.describe_load(name)
        raise errors.ClementinesparError(
            codes.ResultCode.REQUEST_INVALID, f"unknown question {kind}"
        )
