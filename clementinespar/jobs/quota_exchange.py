"""Messages of quotas between the nodes, and the ledger while this node runs it."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterable, Iterator, Mapping
from typing import Protocol

from clementinespar import background, codes, errors, http_calls
from clementinespar.jobs import (
    model,
    owner_quotas,
    ownership,
    partitions,
    quota_ledger,
    quota_messages,
    quota_shares,
    resources,
    services,
    teams,
    telemetry,
)

REQUEST_TIMEOUT_S = 0.4
RECALL_TIMEOUT_S = 0.3
# A request waits this long for recalls. Most are answered within a few milliseconds,
# and an unresponsive owner must not hold up the others.
RECALL_WAIT_S = 0.15
TICK_S = 0.05
# Pause before a recall that had no effect is repeated; doubled each time.
MIN_RECALL_PAUSE_S = 0.1
MAX_RECALL_PAUSE_S = 1.0
OWNERS_READ_INTERVAL_S = 0.5  # each list of owners is a call to the store

_UNAVAILABLE = 503
_STALE = 409
_MALFORMED = 400


class Transport(Protocol):
    """Calls to other nodes, as `http_calls.HttpClient` makes them."""

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: str = "",
        timeout_s: float = 1.0,
    ) -> http_calls.Response:
        """Make one call; raises `errors.ClementinesparError` without a response."""
        ...


class QuotaExchange:
    """Quotas at one node: the link of its owners, and the ledger if it has it.

    Parameters
    ----------
    wanted_partitions : callable
        Returns the partitions that have pools.
    ttl_s : float
        As `services.OwnershipGroup.ttl_s`.
    caps_max_age_s : float
        Caps that were read longer ago may have been lowered since.
    """

    _ledger: quota_ledger.QuotaLedger | None
    _gap_count: int  # of the ownership manager when the ledger began
    _caps: Mapping[str, resources.Resources]
    _caps_source: model.JobConfiguration | None  # of which `_caps` are
    _owners_read_at: float  # event-loop time
    _recalls: set[asyncio.Task[None]]
    _pauses: dict[int, tuple[float, float]]  # by partition: until, and its length

    def __init__(
        self,
        ownership_manager: ownership.OwnershipManager,
        partition_map: partitions.PartitionMap,
        wanted_partitions: Callable[[], frozenset[int]],
        configuration: services.ConfigurationSource,
        transport: Transport,
        ttl_s: float,
        caps_max_age_s: float,
        log_event: services.EventLog,
        metrics: telemetry.JobMetrics,
    ) -> None:
        self._ownership_manager = ownership_manager
        self._partition_map = partition_map
        self._wanted_partitions = wanted_partitions
        self._configuration = configuration
        self._transport = transport
        self._ttl_s = ttl_s
        self._caps_max_age_s = caps_max_age_s
        self._log_event = log_event
        self._metrics = metrics
        self._ledger = None
        self._gap_count = 0
        self._caps = {}
        self._caps_source = None
        self._owners_read_at = -OWNERS_READ_INTERVAL_S
        self._recalls = set()
        self._pauses = {}

    # The link of the owners of this node; see `owner_quotas.QuotaLink`.

    def find_caps(self) -> Mapping[str, resources.Resources]:
        """Return the caps in force; the same object until they change."""
        configuration = self._configuration.current
        if configuration is not self._caps_source and configuration is not None:
            self._caps_source = configuration
            caps = teams.find_caps(configuration.teams_by_name)
            if caps != self._caps:
                self._caps = caps
        return self._caps

    def find_version(self) -> int:
        """Return the version of the configuration in force; 0 before the first."""
        configuration = self._configuration.current
        return 0 if configuration is None else configuration.version

    def has_fresh_caps(self) -> bool:
        """Whether the configuration was read recently enough to rely on the caps."""
        confirmed_at = self._configuration.confirmed_at
        now = asyncio.get_running_loop().time()
        return confirmed_at is not None and now - confirmed_at < self._caps_max_age_s

    def may_act(self, confirmed_at: float | None) -> bool:
        """Whether ownership confirmed at a time certainly lasts for a while."""
        return ownership.lasts(confirmed_at, self._ttl_s)

    async def request(self, request: quota_messages.Request) -> quota_messages.Response:
        """Ask the ledger, here or at another node."""
        if self._find_ledger() is not None:
            status, body = await self.answer_request(request.encode())
        else:
            status, body = await self._call(
                self._partition_map.fleet_partition,
                "/quota/request",
                request.encode(),
                REQUEST_TIMEOUT_S,
            )
        if status != 200:
            await self._read_owners(status)
            raise errors.ClementinesparError(
                codes.ResultCode.PEER_UNAVAILABLE,
                f"the ledger answered with status {status}, expected 200",
            )
        with _decoding_reply():
            return quota_messages.parse_response(body)

    async def _call(
        self, partition: int, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Call the owner of a partition by the last list of owners."""
        member = self._ownership_manager.known_owner(partition)
        if member is None:
            return _UNAVAILABLE, b""
        try:
            response = await self._transport.call(
                member.partition("/")[0], "POST", path, body, timeout_s=timeout_s
            )
        except errors.ClementinesparError:
            return _UNAVAILABLE, b""
        return response.status, response.body

    async def _read_owners(self, status: int) -> None:
        """Read the list of owners again after a call that did not reach the owner."""
        now = asyncio.get_running_loop().time()
        if status == _UNAVAILABLE and now - self._owners_read_at >= (
            OWNERS_READ_INTERVAL_S
        ):
            self._owners_read_at = now
            partition = self._partition_map.fleet_partition
            await self._ownership_manager.find_owner(partition, is_fresh=True)

    # Answers to other nodes.

    async def answer_request(self, body: bytes) -> tuple[int, bytes]:
        """Answer an owner's request as the ledger; returns the status and the body."""
        try:
            request = quota_messages.parse_request(body)
        except ValueError as error:
            return _MALFORMED, quota_messages.encode({"message": str(error)})
        if request.partition >= self._partition_map.count:
            return _MALFORMED, quota_messages.encode({"message": "no such partition"})
        ledger = self._find_ledger()
        if ledger is None:
            return _UNAVAILABLE, b"{}"
        self._update_policy(ledger)
        if not ledger.accept(request):
            return _STALE, b"{}"
        try:
            await self._recall_for(ledger, request)
            if self._find_ledger() is not ledger:
                return _UNAVAILABLE, b"{}"  # another one may have begun meanwhile
            response = ledger.grant(request)
        finally:
            ledger.end_request(request)
        if response is None:
            return _STALE, b"{}"
        return 200, response.encode()

    def answer_recall(self, partition: int, body: bytes) -> tuple[int, bytes]:
        """Answer the ledger as the owner; returns the status and the body."""
        try:
            recall = quota_messages.parse_recall(body)
        except ValueError as error:
            return _MALFORMED, quota_messages.encode({"message": str(error)})
        owner = self._ownership_manager.owners_by_partition.get(partition)
        if owner is None or owner.is_lost or not owner.is_loaded:
            return _UNAVAILABLE, b"{}"
        try:
            response = owner.quotas.answer_recall(recall)
        except quota_shares.StaleLedgerError:
            return _STALE, b"{}"
        if response is None:
            return _UNAVAILABLE, b"{}"
        return 200, response.encode()

    # The ledger.

    @contextlib.asynccontextmanager
    async def run_ledger(self, epoch: int) -> AsyncIterator[None]:
        """Run the ledger inside the context, while the fleet partition is owned.

        It need not wait until orders to hosts of the previous owner are carried out:
        each owner of a partition refuses messages of an earlier ledger.
        """
        self._begin_ledger(epoch)
        try:
            async with background.running(self._run_ledger()):
                yield
        finally:
            self._ledger = None
            recalls = tuple(self._recalls)
            for recall in recalls:
                recall.cancel()
            await asyncio.gather(*recalls, return_exceptions=True)

    def _begin_ledger(self, epoch: int) -> None:
        self._ledger = quota_ledger.QuotaLedger(epoch)
        self._gap_count = self._ownership_manager.gap_count
        self._pauses.clear()

    def _find_ledger(self) -> quota_ledger.QuotaLedger | None:
        """Return the ledger, or None if another node may run it."""
        manager = self._ownership_manager
        if (
            self._ledger is None
            or not manager.is_fleet_owner
            or not self.may_act(manager.confirmed_at())
        ):
            return None
        if self._gap_count != manager.gap_count:
            # Another node may have had the ledger in between, so this is a new one.
            self._begin_ledger(manager.generation)
        return self._ledger

    def _update_policy(self, ledger: quota_ledger.QuotaLedger) -> None:
        caps = self.find_caps()
        wanted = self._wanted_partitions()
        if caps != ledger.caps or wanted != ledger.partitions:
            ledger.set_policy(caps, wanted)
        ledger.version = self.find_version()
        ledger.is_frozen = not self.has_fresh_caps()

    async def _run_ledger(self) -> None:
        """Recall what is not known to the ledger, and what exceeds a lowered cap."""
        while True:
            ledger = self._find_ledger()
            if ledger is not None:
                try:
                    self._recall_due(ledger)
                except Exception as error:  # the fleet owner goes on without quotas
                    partition = self._partition_map.fleet_partition
                    telemetry.log_failure(self._log_event, partition, error)
            await asyncio.sleep(TICK_S)

    def _recall_due(self, ledger: quota_ledger.QuotaLedger) -> None:
        self._update_policy(ledger)
        due = ledger.find_excess()
        for partition in ledger.partitions:
            unknown = ledger.find_unknown(partition)
            if unknown:
                due.setdefault(partition, []).extend(unknown)
        now = asyncio.get_running_loop().time()
        for partition in set(self._pauses) - set(due):
            del self._pauses[partition]
        for partition, names in due.items():
            until, pause_s = self._pauses.get(partition, (now, MIN_RECALL_PAUSE_S))
            if now < until:
                continue
            self._pauses[partition] = (
                now + pause_s,
                min(2 * pause_s, MAX_RECALL_PAUSE_S),
            )
            self._start_recalls(ledger, {partition: names})

    async def _recall_for(
        self, ledger: quota_ledger.QuotaLedger, request: quota_messages.Request
    ) -> None:
        """Recall what a request needs from all other partitions in parallel."""
        loop = asyncio.get_running_loop()
        end = loop.time() + RECALL_WAIT_S
        pending = self._start_recalls(ledger, ledger.find_sources(request))
        while pending and not ledger.is_satisfied(request) and loop.time() < end:
            _, pending = await asyncio.wait(
                pending,
                timeout=end - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )

    def _start_recalls(
        self,
        ledger: quota_ledger.QuotaLedger,
        teams_by_partition: Mapping[int, Iterable[str]],
    ) -> set[asyncio.Task[None]]:
        started = set()
        for partition, names in teams_by_partition.items():
            begun = ledger.begin_recall(partition, names)
            if begun:
                started.add(asyncio.create_task(self._recall(ledger, partition, begun)))
        for recall in started:
            self._recalls.add(recall)
            recall.add_done_callback(self._recalls.discard)
        return started

    async def _recall(
        self, ledger: quota_ledger.QuotaLedger, partition: int, names: list[str]
    ) -> None:
        loop = asyncio.get_running_loop()
        response: quota_messages.RecallResponse | None = None
        try:
            sent_at = loop.time()
            body = quota_messages.Recall(ledger.epoch, tuple(names)).encode()
            if partition in self._ownership_manager.owners_by_partition:
                status, reply = self.answer_recall(partition, body)
            else:
                status, reply = await self._call(
                    partition, f"/{partition}/quota/recall", body, RECALL_TIMEOUT_S
                )
            if status == 200 and loop.time() - sent_at < (
                owner_quotas.RESPONSE_MAX_AGE_S
            ):
                with contextlib.suppress(ValueError):
                    response = quota_messages.parse_recall_response(reply)
        finally:
            ledger.end_recall(partition, names, response)
        self._metrics.count_quota_recall(
            "unanswered" if response is None else "answered"
        )
        await self._read_owners(status)


@contextlib.contextmanager
def _decoding_reply() -> Iterator[None]:
    """Turn a malformed reply into a call without an answer."""
    try:
        yield
    except ValueError as error:
        raise errors.ClementinesparError(
            codes.ResultCode.ANSWER_MISMATCH, str(error)
        ) from error
