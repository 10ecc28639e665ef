"""Requests of callers about jobs, served by any node.

A submission or a cancellation is appended to the store as a command, and acknowledged
once the store has it. Queries go to the owner of the pool, here or at a peer.
"""

import asyncio
import dataclasses
import urllib.parse
from collections.abc import Iterable
from typing import Any

from clementinespar import codes, decoding, errors, explanation, http_calls
from clementinespar.jobs import (
    admission,
    command_routes,
    job_location,
    model,
    moved_queues,
    ownership,
    partitions,
    placement_preview,
    pool_owner,
    retry_after,
    services,
    state,
)

PEER_TIMEOUT_S = 0.5
OWNER_RETRY_S = 0.15  # a change of owner takes about a second
WAITING_MAX_AGE_S = 1.0  # a count returned to callers may be up to 2 s old


class JobService:
    """Submission, state and cancellation of jobs."""

    ownership_manager: ownership.OwnershipManager
    configuration: services.ConfigurationSource
    _partition_map: partitions.PartitionMap
    _http_client: http_calls.HttpClient
    _waiting_by_queue: dict[str, tuple[float, int]]
    routes: command_routes.CommandRoutes
    _load_views: admission.LoadViews
    moved_queues: moved_queues.MovedQueues
    locator: job_location.JobLocator

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
        self._http_client = http_client
        self._waiting_by_queue = {}
        self._load_views = admission.LoadViews()
        self.moved_queues = moved_queues.MovedQueues(partition_map, self._ask_once)
        self.locator = job_location.JobLocator(
            partition_map, self.moved_queues, configuration, self._ask_owner
        )
        self.routes = command_routes.CommandRoutes(
            ownership_manager, store, http_client, self._note_command_answer
        )

    async def submit(
        self,
        pool: str,
        spec: model.JobSpec,
        timeout_s: float,
        former: Iterable[tuple[str, str]] = (),
    ) -> codes.ResultCode:
        """Store a job; returns ``OK`` once it is durable.

        Returns ``STORE_REFUSED`` if it certainly is not stored and ``STORE_UNANSWERED``
        if it may be. While neither this node nor the owner of the pool reaches the
        store, returns before the timeout, so that the caller can retry later.

        Parameters
        ----------
        former : iterable of tuple of str
            Earlier names and pools of the queue; a job that is there remains one job.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        moved = self.moved_queues.find_partitions(pool, former)
        if moved:
            if self.routes.has_stored("j" + spec.job_id):
                return codes.ResultCode.OK
            try:
                if await self.locator.claim(pool, former, spec.job_id, timeout_s):
                    return codes.ResultCode.OK
            except errors.ClementinesparError:
                return codes.ResultCode.STORE_UNANSWERED
        record = services.KeyedRecord("j" + spec.job_id, state.encode_spec(spec))
        return await self.routes.store(
            self._partition_map.find(pool), record, end - loop.time()
        )

    def check_load(self, spec: model.JobSpec) -> admission.Rejection | None:
        """Return why a job is not accepted for the load of its pool, or None."""
        partition = self._partition_map.find(spec.pool)
        now = asyncio.get_running_loop().time()
        if partition in self.ownership_manager.owners_by_partition:
            self._load_views.note_answer(partition, self.describe_waits(partition), now)
        return admission.decide(
            spec,
            self._load_views.find(partition, spec.pool),
            now,
            self.routes.may_be_stored("j" + spec.job_id),
        )

    def describe_waits(self, partition: int) -> dict[str, object]:
        """Return the long waits of the pools that are owned here, by pool."""
        owner = self.ownership_manager.owners_by_partition.get(partition)
        if owner is None or owner.is_lost or not owner.is_loaded:
            return {}
        return owner.waits.describe(asyncio.get_running_loop().time())

    def _note_command_answer(self, partition: int, body: bytes, now: float) -> None:
        try:
            load = decoding.parse_object(body).get("load")
        except decoding.DecodingError:
            load = None
        self._load_views.note_answer(partition, load, now)

    async def cancel(
        self,
        pool: str,
        job_id: str,
        timeout_s: float,
        former: Iterable[tuple[str, str]] = (),
    ) -> codes.ResultCode:
        """Store a cancellation; the owner of the job stops its runs.

        Takes and returns the same as `submit`.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        record = services.KeyedRecord("c" + job_id, b"1")
        code = await self.routes.store(
            self._partition_map.find(pool), record, timeout_s
        )
        if code is not codes.ResultCode.OK:
            return code
        try:
            found = await self.locator.find_elsewhere(
                pool, former, job_id, end - loop.time()
            )
        except errors.ClementinesparError:
            return codes.ResultCode.STORE_UNANSWERED
        if found is None:
            return code
        return await self.routes.store(found.partition, record, end - loop.time())

    def suggest_return_s(self, pool: str, job_id: str) -> int:
        """Return when a caller should return whose submission the store refused."""
        outage_s = self.routes.outage_s(self._partition_map.find(pool))
        return retry_after.after_outage(job_id, outage_s)

    async def describe(
        self,
        pool: str,
        job_id: str,
        timeout_s: float,
        former: Iterable[tuple[str, str]] = (),
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
        others = self.locator.other_partitions(pool, former)
        found = await self.locator.find(others, job_id, timeout_s)
        return None if found is None else found.state

    async def count_waiting(self, queue: model.Queue, timeout_s: float) -> int:
        """Return the number of accepted jobs of a queue with no started task."""
        loop = asyncio.get_running_loop()
        cached = self._waiting_by_queue.get(queue.name)
        if cached is not None and loop.time() - cached[0] < WAITING_MAX_AGE_S:
            return cached[1]
        count = 0
        # Jobs that were submitted before the queue was moved still wait there.
        for queue_name, pool in sorted({(queue.name, queue.pool), *queue.former}):
            name = urllib.parse.quote(queue_name, safe="")
            reply = await self._ask_owner(
                self._partition_map.find(pool), f"/waiting/{name}", timeout_s
            )
            count += int(reply["waiting"])
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

    async def describe_load(self, pool: str, arriving_hosts: int = 0) -> dict[str, Any]:
        """Return the demand and use of a pool, as its owner measures them.

        Tells the owner how many hosts are on their way to the pool.
        """
        path = f"/load/{urllib.parse.quote(pool, safe='')}"
        if arriving_hosts:
            path += f"?arriving={arriving_hosts}"
        return await self._ask_owner(
            self._partition_map.find(pool), path, PEER_TIMEOUT_S
        )

    async def explain(self, job_id: str) -> dict[str, Any]:
        """Return why a job is in its state; raises with ``JOB_UNKNOWN``."""
        for partition in sorted(self.locator.partitions_with_pools()):
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
        team = None if configuration is None else configuration.teams_by_name.get(name)
        found: dict[str, dict[str, Any]] = {}
        for partition in sorted(self.locator.partitions_with_pools()):
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

    async def explain_image(self, image: str) -> dict[str, Any]:
        """Return what an image causes and suffers, as the owners have learnt it.

        Raises
        ------
        errors.ClementinesparError
            No owner answered in time.
        """
        name = urllib.parse.quote(image, safe="")
        states = []
        because: list[str] = []
        for partition in sorted(self.locator.partitions_with_pools()):
            reply = await self._ask_owner(partition, f"/images/{name}", PEER_TIMEOUT_S)
            if reply["state"] is not None:
                states.append(reply["state"])
                because += reply["because"]
        return dataclasses.asdict(
            explanation.Explanation(
                subject=f"image {image}",
                state=", ".join(states) or "no evidence",
                waits_for=None,
                because=tuple(because),
                code=codes.ResultCode.OK,
            )
        )

    async def explain_placement(self, body: bytes, own_address: str) -> dict[str, Any]:
        """Return where a job would be placed, as the owner of its pool tells it.

        Parameters
        ----------
        body : bytes
            JSON of ``queue``, ``team`` and ``job``; see `placement_preview`.
        own_address : str
            ``IP:port`` of this node.

        Raises
        ------
        errors.ClementinesparError
            The question is malformed, or no owner answered in time.
        """
        spec = placement_preview.parse_request(body, self.configuration.current)
        partition = self._partition_map.find(spec.pool)
        reply = await self._ask_owner(partition, "/placement/", PEER_TIMEOUT_S, body)
        if partition in self.ownership_manager.owners_by_partition:
            reply["owner"]["node"] = own_address
        else:
            member = self.ownership_manager.known_owner(partition) or ""
            reply["owner"]["node"] = member.partition("/")[0]
        for name in ("load", "store_silent_ms"):  # meant for this node
            reply.pop(name, None)
        return reply

    def _preview_placement(
        self, owner: pool_owner.PoolOwner, body: bytes
    ) -> dict[str, Any]:
        spec = placement_preview.parse_request(body, self.configuration.current)
        reply = owner.preview.describe(spec)
        reply["owner"] = {
            "partition": owner.partition,
            "epoch": owner.epoch,
            "is_confirmed": owner.confirmed_at() is not None,
        }
        reply["rejection"] = placement_preview.describe_rejection(self.check_load(spec))
        reply["subject"] = f"a job of queue {spec.queue} in pool {spec.pool}"
        reply["state"] = placement_preview.find_state(reply)
        reply["code"] = int(codes.ResultCode.OK)
        return reply

    async def append_for_peer(
        self, partition: int, record: services.KeyedRecord
    ) -> None:
        """Append a command together with others and hand it to the owner here.

        Raises
        ------
        errors.ClementinesparError
            As `services.JobStore.append`. It is ``STORE_REFUSED`` only if no earlier
            append of the command may have had an effect.
        ValueError
            It is not a command, or there is no such partition.
        """
        is_known = 0 <= partition < self._partition_map.count
        if not is_known or record.key[:1] not in ("j", "c") or not record.value:
            raise ValueError(f"no command for partition {partition}: {record.key!r}")
        await self.routes.append_for_peer(partition, record)

    async def close(self) -> None:
        """Cancel the appends that are not answered, and wait until they have ended."""
        await self.routes.close()

    async def _ask_owner(
        self, partition: int, path: str, timeout_s: float, body: bytes = b""
    ) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        is_fresh = False
        while True:
            try:
                return await self._ask_once(partition, path, is_fresh, body)
            except errors.ClementinesparError as error:
                if loop.time() + OWNER_RETRY_S > end:
                    raise errors.ClementinesparError(
                        codes.ResultCode.JOB_OWNER_UNKNOWN, error.message
                    ) from error
            is_fresh = True
            await asyncio.sleep(OWNER_RETRY_S)

    async def _ask_once(
        self, partition: int, path: str, is_fresh: bool = False, body: bytes = b""
    ) -> dict[str, Any]:
        if partition in self.ownership_manager.owners_by_partition:
            return self.answer_peer(partition, path, body)
        member = await self.ownership_manager.find_owner(partition, is_fresh)
        if member is None:
            raise errors.ClementinesparError(
                codes.ResultCode.JOB_OWNER_UNKNOWN, "the partition has no owner"
            )
        response = await self._http_client.call(
            member.partition("/")[0],
            "POST" if body else "GET",
            f"/{partition}{path}",
            body=body,
            timeout_s=PEER_TIMEOUT_S,
        )
        if response.status != 200:
            raise errors.ClementinesparError(
                codes.ResultCode.JOB_OWNER_UNKNOWN,
                f"the peer answered with status {response.status}, expected 200",
            )
        try:
            reply = decoding.parse_object(response.body)
        except decoding.DecodingError as error:
            raise errors.ClementinesparError(
                codes.ResultCode.JOB_OWNER_UNKNOWN,
                f"the answer of the peer cannot be decoded: {error}",
            ) from error
        now = asyncio.get_running_loop().time()
        self._load_views.note_answer(partition, reply.get("load"), now)
        self.routes.note_report(partition, bool(reply.get("store_silent_ms")), now)
        return reply

    def answer_peer(
        self, partition: int, path: str, body: bytes = b""
    ) -> dict[str, Any]:
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
        reply = self._answer_query(owner, path, body)
        load = owner.waits.describe(asyncio.get_running_loop().time())
        if load:
            reply["load"] = load
        stall_s = self.routes.stall_s(partition)
        if stall_s:
            reply["store_silent_ms"] = round(stall_s * 1000)
        return reply

    def _answer_query(
        self, owner: pool_owner.PoolOwner, path: str, body: bytes
    ) -> dict[str, Any]:
        parts = urllib.parse.urlsplit(path)
        _, kind, name = parts.path.split("/", 2)
        name = urllib.parse.unquote(name)
        query = urllib.parse.parse_qs(parts.query)
        if kind == "jobs":
            job_state = owner.describe(name)
            reply = {"state": None if job_state is None else job_state.value}
            return {**reply, "is_held": owner.released.holds(name)}
        if kind in ("explain", "images"):
            explain = owner.explain if kind == "explain" else owner.explain_image
            explained = explain(name)
            if explained is None:
                return {"state": None}
            return {**dataclasses.asdict(explained), "code": int(explained.code)}
        if kind == "moved":
            jobs, configuration = owner.jobs_by_id.values(), self.configuration.current
            has_moved = moved_queues.holds_unrecorded_jobs(jobs, configuration)
            return {"has_moved": has_moved}
        if kind == "release":
            asking, known = int(query["asking"][0]), owner.describe
            return owner.released.answer(name, owner.partition, asking, known)
        if kind == "waiting":
            return {"waiting": owner.count_waiting(name)}
        if kind == "evacuate":
            self.ownership_manager.check_lasting(owner.partition)
            kept_s = float(query["kept_s"][0])
            urgency = model.EvacuationUrgency(query["urgency"][0])
            return {"is_free": owner.evacuate(name, kept_s, urgency)}
        if kind == "load":
            arriving = int(query.get("arriving", ["0"])[0])
            now = asyncio.get_running_loop().time()
            owner.waits.note_arriving_hosts(name, arriving, now)
            return owner.describe_load(name)
        if kind == "team":
            return owner.quotas.describe(name)
        if kind == "placement":
            return self._preview_placement(owner, body)
        raise errors.ClementinesparError(
            codes.ResultCode.REQUEST_INVALID,
            f"unknown kind of query {kind}; expected jobs, explain, images, moved,"
            " release, waiting, evacuate, load, team or placement",
        )
