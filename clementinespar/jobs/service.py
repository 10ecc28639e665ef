"""Requests of callers about jobs, served by any node.

A submission or a cancellation is appended to the store as a command, and acknowledged
once the store has it. Queries go to the owner of the pool, here or at a peer.
"""

import asyncio
import dataclasses
import json
import math
import urllib.parse
from collections.abc import Iterable
from typing import Any

from clementinespar import codes, errors, http_calls
from clementinespar.jobs import (
    command_writer,
    model,
    ownership,
    partitions,
    services,
    state,
)

PEER_TIMEOUT_S = 0.5
OWNER_RETRY_S = 0.15  # a change of owner takes about a second
WAITING_MAX_AGE_S = 1.0  # a count returned to callers may be up to 2 s old
STORE_RETRY_S = 0.1
# A store that has answered no call for this long counts as unavailable, and calls to it
# are given up after the same time. A slow store may need most of it to answer.
STORE_UNAVAILABLE_S = 1.0
# Above this latency of the store's calls, commands go through the owner of their
# partition, which appends many at a time. A call usually takes a few milliseconds.
SLOW_STORE_S = 0.1
# Shorter than `STORE_UNAVAILABLE_S`, so that a direct append can follow.
FORWARD_TIMEOUT_S = 0.8


class JobService:
    """Submission, state and cancellation of jobs."""

    ownership_manager: ownership.OwnershipManager
    configuration: services.ConfigurationSource
    _partition_map: partitions.PartitionMap
    _store: services.JobStore
    _http_client: http_calls.HttpClient
    _waiting_by_queue: dict[str, tuple[float, int]]
    _sent_at: dict[str, float]  # job id: event-loop time of its pending append
    _unanswered_since: float  # event-loop time of the first append without an answer
    _answered_at: float  # event-loop time of the last answer to an append
    _append_latency_s: float  # duration of the last answered append
    _command_writer: command_writer.CommandWriter

    def __init__(
        self,
        ownership_manager: ownership.OwnershipManager,
        partition_map: partitions.PartitionMap,
        configuration: services.ConfigurationSource,
        store: services.JobStore,
        http_client: http_calls.HttpClient,
    ) -> None:
        self.ownership_manager = ownership_manager
        self.configuration = configuration
        self._partition_map = partition_map
        self._store = store
        self._http_client = http_client
        self._waiting_by_queue = {}
        self._sent_at = {}
        self._unanswered_since = -math.inf
        self._answered_at = -math.inf
        self._append_latency_s = 0.0
        self._command_writer = command_writer.CommandWriter(store)

    async def submit(
        self, pool: str, spec: model.JobSpec, timeout_s: float
    ) -> codes.ResultCode:
        """Store a job; returns ``OK`` once it is durable.

        Returns ``STORE_REFUSED`` if it certainly is not stored and ``STORE_UNANSWERED``
        if it may be. While neither this node nor the owner of the pool reaches the
        store, returns before the timeout, so that the caller can retry later.
        """
        record = services.KeyedRecord("j" + spec.job_id, state.encode_spec(spec))
        loop = asyncio.get_running_loop()
        self._sent_at[spec.job_id] = loop.time()
        command = asyncio.create_task(self._append_command(pool, record, timeout_s))
        try:
            while True:
                done, _ = await asyncio.wait({command}, timeout=STORE_UNAVAILABLE_S)
                if done:
                    return command.result()
                if self._is_store_unavailable():
                    return codes.ResultCode.STORE_UNANSWERED
        finally:
            command.cancel()
            self._sent_at.pop(spec.job_id, None)

    def _is_store_unavailable(self) -> bool:
        """Whether the store has left a call of this node unanswered for too long."""
        now = asyncio.get_running_loop().time()
        answered_at = self._store_answered_at()
        unanswered = [self._unanswered_since, *self._sent_at.values()]
        if self.ownership_manager.unanswered_since is not None:
            unanswered.append(self.ownership_manager.unanswered_since)
        return any(
            sent_at > answered_at and now - sent_at >= STORE_UNAVAILABLE_S
            for sent_at in unanswered
        )

    def _store_answered_at(self) -> float:
        reached_at = self.ownership_manager.reached_at
        return max(self._answered_at, -math.inf if reached_at is None else reached_at)

    async def cancel(
        self, pool: str, job_id: str, timeout_s: float
    ) -> codes.ResultCode:
        """Store a cancellation; the owner of the job stops its runs."""
        record = services.KeyedRecord("c" + job_id, b"1")
        return await self._append_command(pool, record, timeout_s)

    async def describe(
        self, pool: str, job_id: str, timeout_s: float
    ) -> model.JobState | None:
        """Return a job's state, or None if no pool has this job.

        Raises
        ------
        errors.ClementinesparError
            No owner answered in time.
        """
        reply = await self._ask_owner(
            self._partition_map.find(pool), f"/jobs/{job_id}", timeout_s
        )
        if reply["state"] is not None:
            return model.JobState(reply["state"])
        # The queue may have moved to another pool since the job was submitted.
        for partition in self._other_partitions(pool):
            reply = await self._ask_owner(partition, f"/jobs/{job_id}", timeout_s)
            if reply["state"] is not None:
                return model.JobState(reply["state"])
        return None

    async def count_waiting(self, queue: model.Queue, timeout_s: float) -> int:
        """Return the number of accepted jobs of a queue with no started task."""
        loop = asyncio.get_running_loop()
        cached = self._waiting_by_queue.get(queue.name)
        if cached is not None and loop.time() - cached[0] < WAITING_MAX_AGE_S:
            return cached[1]
        name = urllib.parse.quote(queue.name, safe="")
        reply = await self._ask_owner(
            self._partition_map.find(queue.pool), f"/waiting/{name}", timeout_s
        )
        count = int(reply["waiting"])
        self._waiting_by_queue[queue.name] = (loop.time(), count)
        return count

    async def evacuate(
        self,
        pool: str,
        worker_id: str,
        kept_s: float,
        urgency: model.EvacuationUrgency,
    ) -> bool:
        """Ask the owner of a pool to evacuate a worker; True once it is free."""
        name = urllib.parse.quote(worker_id, safe="")
        reply = await self._ask_owner(
            self._partition_map.find(pool),
            f"/evacuate/{name}?kept_s={kept_s}&urgency={urgency.value}",
            PEER_TIMEOUT_S,
        )
        return bool(reply["is_free"])

    async def describe_load(self, pool: str) -> dict[str, Any]:
        """Return the demand and use of a pool, as its owner measures them."""
        return await self._ask_owner(
            self._partition_map.find(pool),
            f"/load/{urllib.parse.quote(pool, safe='')}",
            PEER_TIMEOUT_S,
        )

    async def explain(self, job_id: str) -> dict[str, Any]:
        """Return why a job is in its state; raises with ``JOB_UNKNOWN``."""
        configuration = self.configuration.current
        pools = () if configuration is None else configuration.pools_by_name
        for partition in sorted({self._partition_map.find(pool) for pool in pools}):
            reply = await self._ask_owner(
                partition, f"/explain/{job_id}", PEER_TIMEOUT_S
            )
            if reply["state"] is not None:
                return reply
        raise errors.ClementinesparError(
            codes.ResultCode.JOB_UNKNOWN, "no pool has a job of this id"
        )

    async def describe_team(self, name: str) -> dict[str, Any]:
        """Return a team's cap, and its use and share in each partition.

        Raises
        ------
        errors.ClementinesparError
            With ``TEAM_UNKNOWN``: the configuration has no such team, and none of its
            tasks run or wait.
        """
        configuration = self.configuration.current
        pools = () if configuration is None else configuration.pools_by_name
        team = None if configuration is None else configuration.teams_by_name.get(name)
        found: dict[str, dict[str, Any]] = {}
        for partition in sorted({self._partition_map.find(pool) for pool in pools}):
            found[str(partition)] = await self._ask_owner(
                partition, f"/team/{urllib.parse.quote(name, safe='')}", PEER_TIMEOUT_S
            )
        uses = [reply["use"] for reply in found.values()]
        waiting = sum(reply["waiting"] for reply in found.values())
        use = [sum(amounts) for amounts in zip(*uses, strict=True)] or [0, 0, 0]
        if team is None and not any(use) and not waiting:
            raise errors.ClementinesparError(
                codes.ResultCode.TEAM_UNKNOWN, "the configuration has no such team"
            )
        return {
            "subject": f"team {name}",
            "state": "waiting" if waiting else "idle" if not any(use) else "running",
            "waits_for": None,
            "because": [
                f"partition {partition}: uses {reply['use']}, share {reply['share']},"
                f" {reply['waiting']} tasks wait"
                for partition, reply in found.items()
            ],
            "code": int(codes.ResultCode.OK),
            "weight": None if team is None else team.weight,
            "cap": None if team is None else team.cap,
            "use": use,
            "waiting": waiting,
            "partitions": found,
        }

    def _other_partitions(self, pool: str) -> Iterable[int]:
        configuration = self.configuration.current
        if configuration is None:
            return ()
        return sorted(
            {self._partition_map.find(name) for name in configuration.pools_by_name}
            - {self._partition_map.find(pool)}
        )

    async def _append_command(
        self, pool: str, record: services.KeyedRecord, timeout_s: float
    ) -> codes.ResultCode:
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        may_be_stored = False
        while True:
            sent_at = loop.time()
            try:
                await self._append_once(
                    self._partition_map.find(pool), record, may_be_stored
                )
            except errors.ClementinesparError as error:
                if error.code is codes.ResultCode.STORE_UNANSWERED:
                    may_be_stored = True
                    if self._unanswered_since <= self._store_answered_at():
                        self._unanswered_since = sent_at
            else:
                self._answered_at = loop.time()
                return codes.ResultCode.OK
            if not may_be_stored:
                return codes.ResultCode.STORE_REFUSED
            if loop.time() + STORE_RETRY_S > end:
                return codes.ResultCode.STORE_UNANSWERED
            await asyncio.sleep(STORE_RETRY_S)

    async def _append_once(
        self, partition: int, record: services.KeyedRecord, is_repeated: bool
    ) -> None:
        """Append a command, or let the owner of its partition append it.

        The owner does so while the store is slow, or turns this node away but not the
        owner. A command whose first attempt had no answer does not depend on the owner
        again.
        """
        is_unavailable = self._is_store_unavailable()
        is_forwarded_first = is_unavailable or self._is_store_slow()
        if is_forwarded_first and not is_repeated:
            if partition in self.ownership_manager.owners_by_partition:
                await self.append_for_peer(partition, record)
                return
            if await self._append_at_owner(partition, record):
                return
            if is_unavailable:
                raise errors.ClementinesparError(
                    codes.ResultCode.STORE_REFUSED, "the store does not answer"
                )
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            await self._store.append(services.Topic.COMMANDS, partition, [record])
        except errors.ClementinesparError as error:
            is_refused = error.code is codes.ResultCode.STORE_REFUSED
            if is_forwarded_first or is_repeated or not is_refused:
                raise
            if not await self._append_at_owner(partition, record):
                raise
        else:
            self._append_latency_s = loop.time() - sent_at

    def _is_store_slow(self) -> bool:
        latency_s = max(self._append_latency_s, self.ownership_manager.store_latency_s)
        return latency_s > SLOW_STORE_S

    async def _append_at_owner(
        self, partition: int, record: services.KeyedRecord
    ) -> bool:
        """Let the owner append a command; False if it certainly did not.

        Raises
        ------
        errors.ClementinesparError
            With ``STORE_UNANSWERED``: the command may be stored.
        """
        member = self.ownership_manager.known_owner(partition)
        if member is None:
            return False
        try:
            response = await self._http_client.call(
                member.partition("/")[0],
                "POST",
                f"/{partition}/commands/{urllib.parse.quote(record.key, safe='')}",
                record.value,
                timeout_s=FORWARD_TIMEOUT_S,
            )
        except http_calls.CallNotSentError:
            return False
        except http_calls.CallUnansweredError as error:
            raise errors.ClementinesparError(
                codes.ResultCode.STORE_UNANSWERED, error.message
            ) from error
        # The next command finds out by its own append whether the store is still slow.
        self._append_latency_s = 0.0
        if response.status == 503:
            return False
        if response.status != 200:
            raise errors.ClementinesparError(
                codes.ResultCode.STORE_UNANSWERED,
                f"the peer answered with status {response.status}, expected 200",
            )
        return True

    async def append_for_peer(
        self, partition: int, record: services.KeyedRecord
    ) -> None:
        """Append a command together with others and hand it to the owner here.

        Raises
        ------
        errors.ClementinesparError
            As `services.JobStore.append`.
        ValueError
            It is not a command, or there is no such partition.
        """
        is_known = 0 <= partition < self._partition_map.count
        if not is_known or record.key[:1] not in ("j", "c") or not record.value:
            raise ValueError(f"no command for partition {partition}: {record.key!r}")
        if self._is_store_unavailable():
            raise errors.ClementinesparError(
                codes.ResultCode.STORE_REFUSED, "the store does not answer"
            )
        await self._command_writer.append(partition, record)
        owner = self.ownership_manager.owners_by_partition.get(partition)
        if owner is not None:
            owner.accept_stored_command(record)

    def close(self) -> None:
        """Cancel the appends that are not answered."""
        self._command_writer.close()

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
        if partition in self.ownership_manager.owners_by_partition:
            return self.answer_peer(partition, path)
        member = await self.ownership_manager.find_owner(partition, is_fresh)
        if member is None:
            raise errors.ClementinesparError(
                codes.ResultCode.JOB_OWNER_UNKNOWN, "the partition has no owner"
            )
        address = member.partition("/")[0]
        response = await self._http_client.call(
            address, "GET", f"/{partition}{path}", timeout_s=PEER_TIMEOUT_S
        )
        if response.status != 200:
            raise errors.ClementinesparError(
                codes.ResultCode.JOB_OWNER_UNKNOWN,
                f"the peer answered with status {response.status}, expected 200",
            )
        reply: dict[str, Any] = json.loads(response.body)
        return reply

    def answer_peer(self, partition: int, path: str) -> dict[str, Any]:
        """Answer a query of a peer, or of this node, as the owner of a partition.

        Raises
        ------
        errors.ClementinesparError
            This node is not the owner, or has not loaded the partition.
        """
        owner = self.ownership_manager.owners_by_partition.get(partition)
        if owner is None or owner.is_lost or not owner.is_loaded:
            raise errors.ClementinesparError(
                codes.ResultCode.JOB_OWNER_UNKNOWN,
                "this node does not own the partition or has not loaded it yet",
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
        if kind == "team":
            return owner.quotas.describe(name)
        raise errors.ClementinesparError(
            codes.ResultCode.REQUEST_INVALID,
            f"unknown kind of query {kind}; expected jobs, explain, waiting, evacuate,"
            " load or team",
        )
