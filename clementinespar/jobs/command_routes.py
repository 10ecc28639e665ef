"""Routes of a caller's command to the store: by this node and by the owner.

A command is idempotent, so it may take both routes, and what one of them confirms is
stored. The routes are watched, so that a command is refused before it is sent while
neither has answers, and given up once its outcome cannot be confirmed any more.
"""

import asyncio
import contextlib
import dataclasses
import enum
import math
import urllib.parse
from collections.abc import Callable

from clementinespar import background, codes, errors, http_calls
from clementinespar.jobs import (
    command_writer,
    ownership,
    services,
    store_health,
    tracked_store,
)

STORE_RETRY_S = 0.1
# Above this latency of the store's calls, commands go through the owner of their
# partition, which appends many at a time. A call usually takes a few milliseconds.
SLOW_STORE_S = 0.1
# A direct append without an answer for this long is joined by one through the owner.
# Calls of a store that is slow by a factor of 60 take 0.24 s.
HEDGE_S = 0.3
# The owner of a slow store's partition answers within two of its appends, and refuses
# what it has not sent by `command_writer.UNSENT_MAX_S`.
OWNER_HEDGE_S = 0.6
# Shorter than `store_health.STORE_UNAVAILABLE_S`, so that a direct append can follow.
FORWARD_TIMEOUT_S = 0.8
# An owner answers by then that the outcome is unknown, so that it does not look lost.
PEER_ANSWER_S = 0.7
# How long a node goes by an owner's word that the store does not answer it.
REPORT_MAX_AGE_S = 1.5
MAX_MEMBERS = 200  # a node gets another name at each start


class _Route(enum.Enum):
    DIRECT = "direct"
    OWNER = "owner"


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    """How to bring a command to the store.

    Attributes
    ----------
    delays_s : dict
        When each route starts. Without any, the command must not be sent.
    probed : store_health.RouteHealth or None
        A silent route on which the command is the only one.
    is_owner_final : bool
        Whether a refusal by the owner ends the attempt.
    limit_s : float
        The outcome counts as unknown after this long, unless other calls are answered.
    """

    delays_s: dict[_Route, float]
    probed: store_health.RouteHealth | None = None
    is_owner_final: bool = False
    limit_s: float = 1.1  # a direct append, or one by the owner after `HEDGE_S`


class _Attempt:
    """A command on its way to the store."""

    __slots__ = ("partition", "record", "is_hedge_wanted", "_plan", "_refused")

    partition: int
    record: services.KeyedRecord
    is_hedge_wanted: asyncio.Event  # a route failed, so the others start at once
    _plan: _Plan
    _refused: set[_Route]  # routes whose newest call was refused

    def __init__(
        self, partition: int, record: services.KeyedRecord, plan: _Plan
    ) -> None:
        self.partition = partition
        self.record = record
        self.is_hedge_wanted = asyncio.Event()
        self._plan = plan
        self._refused = set()

    def note_outcome(self, route: _Route, outcome: codes.ResultCode) -> bool:
        """Record the outcome of a call; True if it is the refusal of the command."""
        if outcome is not codes.ResultCode.STORE_REFUSED:
            self._refused.discard(route)
            return False
        self._refused.add(route)
        is_owner_final = self._plan.is_owner_final and route is _Route.OWNER
        return is_owner_final or self._refused == self._plan.delays_s.keys()


class CommandRoutes:
    """Brings commands of callers to the store.

    Parameters
    ----------
    note_answer : callable
        Gets the partition, body and event-loop time of each answer of an owner that
        has stored a command.
    """

    _ownership_manager: ownership.OwnershipManager
    _http_client: http_calls.HttpClient
    _sent: store_health.SentCommands
    _store: tracked_store.TrackedStore
    _writer: command_writer.CommandWriter
    _health_by_member: dict[str, store_health.RouteHealth]  # of peers that are owners
    _probes: set[asyncio.Task[None]]  # appends for peers to a silent store
    _owner_stored_at: dict[int, float]  # by partition: event-loop time
    # By partition: when its owner last said that the store does not answer it.
    _owner_reported_at: dict[int, float]

    def __init__(
        self,
        ownership_manager: ownership.OwnershipManager,
        store: services.JobStore,
        http_client: http_calls.HttpClient,
        note_answer: Callable[[int, bytes, float], None] = lambda *_: None,
    ) -> None:
        self._ownership_manager = ownership_manager
        self._http_client = http_client
        self._note_answer = note_answer
        self._sent = store_health.SentCommands()
        self._store = tracked_store.TrackedStore(store, self._sent)
        self._writer = command_writer.CommandWriter(
            self._store, self._may_send, self._is_known_here
        )
        self._health_by_member = {}
        self._probes = set()
        self._owner_stored_at = {}
        self._owner_reported_at = {}

    async def close(self) -> None:
        """Cancel the appends that are not answered, and wait until they have ended."""
        await self._writer.close()
        await background.end_all(self._probes)

    def may_be_stored(self, key: str) -> bool:
        """Whether an append of this command was sent that was not refused."""
        return self._sent.may_be_stored(key)

    def has_stored(self, key: str) -> bool:
        """Whether this node has stored the command, in whichever partition."""
        return bool(self._sent.find_stored(key))

    def outage_s(self, partition: int) -> float:
        """Return for how long the store is unavailable to this node, or 0."""
        now = asyncio.get_running_loop().time()
        since = self._direct_silent_since(partition, now)
        return 0.0 if since is None else now - since

    def note_report(self, partition: int, is_silent: bool, now: float) -> None:
        """Record what an owner said about the answers of the store."""
        if is_silent:
            self._owner_reported_at[partition] = now
        else:
            self._owner_reported_at.pop(partition, None)

    def stall_s(self, partition: int) -> float:
        """Return for how long appends of this node have had no answer, or 0."""
        now = asyncio.get_running_loop().time()
        pending_s = self._store.find_health(partition).pending_s(now)
        return max(self.outage_s(partition), pending_s if pending_s > HEDGE_S else 0.0)

    async def store(
        self, partition: int, record: services.KeyedRecord, timeout_s: float
    ) -> codes.ResultCode:
        """Store a command; returns ``OK`` once it is durable.

        Returns ``STORE_REFUSED`` if it certainly is not stored and ``STORE_UNANSWERED``
        if it may be, as soon as either is known.
        """
        if self._is_stored(partition, record):
            return codes.ResultCode.OK
        now = asyncio.get_running_loop().time()
        plan = self._plan(partition, now)
        if not plan.delays_s:
            return self._unstored_outcome(record.key)
        if plan.probed is not None:
            plan.probed.begin_probe(now)
        try:
            outcome = await self._store_by(
                plan, _Attempt(partition, record, plan), timeout_s
            )
        finally:
            if plan.probed is not None:
                plan.probed.end_probe()
        if outcome is codes.ResultCode.OK:
            return outcome
        # Decided once all calls have ended: a route may have started meanwhile.
        return self._unstored_outcome(record.key)

    def _unstored_outcome(self, key: str) -> codes.ResultCode:
        """Return the truthful answer for a command that is not known to be stored."""
        if self._sent.may_be_stored(key):
            return codes.ResultCode.STORE_UNANSWERED
        return codes.ResultCode.STORE_REFUSED

    def _plan(self, partition: int, now: float) -> _Plan:
        """Return the routes of a command that arrives now."""
        direct = self._store.find_health(partition)
        is_direct_silent = self._direct_silent_since(partition, now) is not None
        is_losing = self._store.is_losing(now, HEDGE_S)
        # A silent group finds out by its own calls when the store is back.
        may_probe_direct = not self._is_group_silent(now) and direct.may_probe(now)
        owner = self._find_owner_health(partition)
        if owner is None:  # none is known, or it is this node
            if is_direct_silent:
                if may_probe_direct:
                    return _Plan({_Route.DIRECT: 0.0}, probed=direct)
                return _Plan({})
            is_batched = is_losing or self._is_slow(direct)
            if is_batched and self._is_owner_here(partition):
                return _Plan({_Route.OWNER: 0.0})
            return _Plan({_Route.DIRECT: 0.0})
        is_owner_losing = owner.is_losing(now, OWNER_HEDGE_S)
        if is_direct_silent and is_owner_losing:
            if may_probe_direct:
                return _Plan({_Route.DIRECT: 0.0, _Route.OWNER: 0.0}, probed=direct)
            if owner.may_probe(now):
                return _Plan({_Route.OWNER: 0.0}, probed=owner)
            return _Plan({})
        if is_owner_losing:
            return _Plan({_Route.DIRECT: 0.0})
        reported_at = self._owner_reported_at.get(partition, -math.inf)
        if now - reported_at <= REPORT_MAX_AGE_S:
            return _Plan({_Route.OWNER: 0.0})
        # Where the owner stores commands, a direct append beside it does not harm the
        # caller and shows whether this node's calls are answered again.
        is_harmless = owner.has_stored_last and may_probe_direct
        if is_harmless and (is_direct_silent or is_losing):
            return _Plan({_Route.OWNER: 0.0, _Route.DIRECT: 0.0}, probed=direct)
        if is_direct_silent:
            return _Plan({_Route.OWNER: 0.0})
        if is_losing:
            # Not sent directly after a refusal by the owner, which makes the refusal
            # final: a direct append would probably remain without an answer.
            return _Plan(
                {_Route.OWNER: 0.0, _Route.DIRECT: OWNER_HEDGE_S}, is_owner_final=True
            )
        if self._is_slow(direct):
            return _Plan(
                {_Route.OWNER: 0.0, _Route.DIRECT: OWNER_HEDGE_S},
                limit_s=OWNER_HEDGE_S + store_health.STORE_UNAVAILABLE_S,
            )
        return _Plan({_Route.DIRECT: 0.0, _Route.OWNER: HEDGE_S})

    async def _store_by(
        self, plan: _Plan, attempt: _Attempt, timeout_s: float
    ) -> codes.ResultCode:
        """Store a command by the routes of a plan, until one of them confirms it."""
        partition, record = attempt.partition, attempt.record
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        end = began_at + timeout_s
        give_up_at = began_at + plan.limit_s
        tasks = {
            asyncio.create_task(self._repeat(route, attempt, delay_s))
            for route, delay_s in plan.delays_s.items()
        }
        try:
            while True:
                now = loop.time()
                # Answers to later commands show that a repeated append may have one.
                is_hopeless = now >= give_up_at and not self._has_stored_since(
                    partition, began_at
                )
                if now >= end or is_hopeless:
                    return codes.ResultCode.STORE_UNANSWERED
                wake_at = min(end, give_up_at if now < give_up_at else end)
                if now >= give_up_at or self._is_owner_here(partition):
                    wake_at = min(wake_at, now + command_writer.KNOWN_CHECK_S)
                done, _ = await asyncio.wait(
                    tasks,
                    timeout=wake_at - now,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if self._is_stored(partition, record):
                    return codes.ResultCode.OK
                for task in done:
                    return task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _repeat(
        self, route: _Route, attempt: _Attempt, delay_s: float
    ) -> codes.ResultCode:
        """Try a route until the command is stored, or refused on all routes."""
        if delay_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_s):
                    await attempt.is_hedge_wanted.wait()
        while True:
            outcome = await self._try(route, attempt)
            if outcome is codes.ResultCode.OK:
                return outcome
            is_refusal = attempt.note_outcome(route, outcome)
            if is_refusal and not self._sent.may_be_stored(attempt.record.key):
                return outcome
            attempt.is_hedge_wanted.set()  # what this route missed, another may do
            await asyncio.sleep(STORE_RETRY_S)

    async def _try(self, route: _Route, attempt: _Attempt) -> codes.ResultCode:
        partition, record = attempt.partition, attempt.record
        try:
            if route is _Route.DIRECT:
                await self._store.append(services.Topic.COMMANDS, partition, [record])
            elif self._is_owner_here(partition):
                await self._writer.append(partition, record)
                self._accept(partition, record)
            else:
                await self._append_at_owner(partition, record)
        except errors.ClementinesparError as error:
            if error.code is codes.ResultCode.STORE_REFUSED:
                return error.code
            return codes.ResultCode.STORE_UNANSWERED
        return codes.ResultCode.OK

    async def _append_probe(
        self,
        partition: int,
        record: services.KeyedRecord,
        health: store_health.RouteHealth,
    ) -> None:
        """Append one command; raises TimeoutError, but goes on, if that takes long."""
        health.begin_probe(asyncio.get_running_loop().time())
        probe = asyncio.create_task(
            self._store.append(services.Topic.COMMANDS, partition, [record])
        )
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)
        probe.add_done_callback(lambda _: health.end_probe())
        done, _ = await asyncio.wait({probe}, timeout=PEER_ANSWER_S)
        if not done:
            probe.add_done_callback(_ignore_outcome)
            raise TimeoutError("the store has not answered yet")
        probe.result()

    def _accept(self, partition: int, record: services.KeyedRecord) -> None:
        """Hand a stored command to the owner here, before it is read back."""
        owner = self._ownership_manager.owners_by_partition.get(partition)
        if owner is not None:
            owner.accept_stored_command(record)

    def _may_send(self, partition: int) -> bool:
        """Whether commands that wait for an append may be sent."""
        now = asyncio.get_running_loop().time()
        return self._direct_silent_since(partition, now) is None

    async def _append_at_owner(
        self, partition: int, record: services.KeyedRecord
    ) -> None:
        """Let the owner append a command; raises as `services.JobStore.append`."""
        member = self._ownership_manager.known_owner(partition)
        health = self._find_owner_health(partition)
        if member is None or health is None:
            raise errors.ClementinesparError(
                codes.ResultCode.STORE_REFUSED, "no owner of the partition is known"
            )
        with tracked_store.tracking(
            health, self._sent, partition, [record.key]
        ) as call:
            try:
                response = await self._http_client.call(
                    member.partition("/")[0],
                    "POST",
                    f"/{partition}/commands/{urllib.parse.quote(record.key, safe='')}",
                    record.value,
                    timeout_s=FORWARD_TIMEOUT_S,
                )
            except http_calls.CallNotSentError as error:
                call.is_unreachable = True
                raise errors.ClementinesparError(
                    codes.ResultCode.STORE_REFUSED, error.message
                ) from error
            call.is_answered = True
            if response.status == 503:
                raise errors.ClementinesparError(
                    codes.ResultCode.STORE_REFUSED, "the owner refused the command"
                )
            if response.status != 200:
                raise errors.ClementinesparError(
                    codes.ResultCode.STORE_UNANSWERED,
                    f"the peer answered with status {response.status}, expected 200",
                )
        now = asyncio.get_running_loop().time()
        self._owner_stored_at[partition] = now
        self.note_report(partition, False, now)
        self._note_answer(partition, response.body, now)
        # The next command finds out by its own append whether the store is still slow.
        self._store.find_health(partition).latency_s = 0.0

    async def append_for_peer(
        self, partition: int, record: services.KeyedRecord
    ) -> None:
        """Append a command together with others and hand it to the owner here.

        Raises
        ------
        errors.ClementinesparError
            As `services.JobStore.append`. It is ``STORE_REFUSED`` only if no earlier
            append of the command may have had an effect.
        """
        if self._is_stored(partition, record):
            return
        now = asyncio.get_running_loop().time()
        health = self._store.find_health(partition)
        is_probe = (
            self._direct_silent_since(partition, now) is not None
            and not self._is_group_silent(now)
            and health.may_probe(now)
        )
        try:
            if is_probe:
                await self._append_probe(partition, record, health)
            else:
                async with asyncio.timeout(PEER_ANSWER_S):
                    # Refused while the store is silent.
                    await self._writer.append(partition, record)
            self._accept(partition, record)
        except (errors.ClementinesparError, TimeoutError) as error:
            if self._is_known_here(partition, record):
                return
            code = self._unstored_outcome(record.key)
            raise errors.ClementinesparError(
                code, f"the command is not known to be stored: {error}"
            ) from error

    def _is_owner_here(self, partition: int) -> bool:
        return partition in self._ownership_manager.owners_by_partition

    def _is_stored(self, partition: int, record: services.KeyedRecord) -> bool:
        """Whether the partition certainly has the command."""
        is_confirmed = partition in self._sent.find_stored(record.key)
        return is_confirmed or self._is_known_here(partition, record)

    def _is_known_here(self, partition: int, record: services.KeyedRecord) -> bool:
        """Whether the owner at this node has read the command from the store."""
        owner = self._ownership_manager.owners_by_partition.get(partition)
        if owner is None or not owner.knows_command(record):
            return False
        if self._sent.may_be_stored(record.key):
            self._store.find_health(partition).note_effect()
        return True

    def _find_owner_health(self, partition: int) -> store_health.RouteHealth | None:
        """Return the state of calls to the owner, or None if no peer is the owner."""
        member = self._ownership_manager.known_owner(partition)
        if member is None or self._is_owner_here(partition):
            return None
        health = self._health_by_member.get(member)
        if health is None:
            if len(self._health_by_member) >= MAX_MEMBERS:
                self._health_by_member.clear()
            health = self._health_by_member[member] = store_health.RouteHealth()
        return health

    def _direct_silent_since(self, partition: int, now: float) -> float | None:
        """Return since when this node has no answers of the store, or None."""
        limit_s = store_health.STORE_UNAVAILABLE_S
        since = self._store.find_health(partition).silent_since(now, limit_s)
        if since is None and self._is_group_silent(now):
            return self._ownership_manager.unanswered_since
        return since

    def _is_group_silent(self, now: float) -> bool:
        """Whether the calls of the group had no answer, and no append since then."""
        since = self._ownership_manager.unanswered_since
        return (
            since is not None
            and since > self._store.stored_at()
            and now - since >= store_health.STORE_UNAVAILABLE_S
        )

    def _has_stored_since(self, partition: int, began_at: float) -> bool:
        """Whether a route to the partition was answered with success since a time."""
        direct_at = self._store.find_health(partition).stored_at
        owner_at = self._owner_stored_at.get(partition, -math.inf)
        return max(direct_at, owner_at) > began_at

    def _is_slow(self, direct: store_health.RouteHealth) -> bool:
        store_latency_s = self._ownership_manager.store_latency_s
        return max(direct.latency_s, store_latency_s) > SLOW_STORE_S


def _ignore_outcome(task: asyncio.Task[None]) -> None:
    """Retrieve the error of an append for which nobody waits; its health has it."""
    if not task.cancelled():
        task.exception()
