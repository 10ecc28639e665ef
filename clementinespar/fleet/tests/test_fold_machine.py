"""State machine of the fold: any order of records, two nodes, snapshots at any cut."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from clementinespar import codes
from clementinespar.claims import messages as claim_messages
from clementinespar.documents import messages as document_messages
from clementinespar.documents import model
from clementinespar.duties import messages as duty_messages
from clementinespar.fleet import snapshot, state
from clementinespar.log import base, records, service
from clementinespar.pools import messages as pool_messages
from clementinespar.waves import messages as wave_messages

_START_MS = 1_700_000_000_000
_HOSTS = ("h0", "h1", "h2", "h3", "h4")
_POOLS = ("a", "b")

authors = st.sampled_from(("node-a", "node-b", "node-c"))
# Ages of request ids and records relative to log time, around every limit of the fold.
skews_ms = st.sampled_from(
    (0, -1_000, 1_000, -119_000, -121_000, 59_000, 61_000, -599_000, -601_000)
)
jumps_ms = st.sampled_from((1, 50, 999, 4_000, 61_000, 121_000, 181_000, 601_000))


def make_document(user: str, pool_of_last_host: str) -> model.Document:
    pools = {"a": ["h0", "h1"], "b": ["h2", "h3"]}
    pools[pool_of_last_host].append("h4")
    return model.Document(
        user=user,
        hosts={h: model.Host(data_centre="dc1", rack=f"r{h}") for h in _HOSTS},
        pools={
            name: model.Pool(
                host_ids=tuple(hosts), budget=model.Budget(min_available=1)
            )
            for name, hosts in pools.items()
        },
        services={},
    )


_DOCUMENTS = [make_document(f"user-{i}", _POOLS[i % 2]) for i in range(4)]


@dataclasses.dataclass
class Held:
    """The duty lease that the model expects."""

    holder: str
    until_ms: int


class FoldMachine(stateful.RuleBasedStateMachine):
    """Appends records and compares the fold with plain models of the invariants."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = _START_MS
        self.entries: list[service.LogEntry] = []
        self.sent: list[base.Record] = []
        self.first = state.FleetState()  # node that applies at once
        self.second = state.FleetState()  # node that lags and loads snapshots
        self.applied_ids: set[str] = set()
        self.revisions: dict[document_messages.Environment, int] = {
            "trial": 0,
            "production": 0,
        }
        self.documents_by_trial_revision: dict[int, model.Document] = {}
        self.issued_ms_by_request_id: dict[str, int] = {}
        self.winner_by_request_id: dict[str, str] = {}
        self.leases: dict[str, Held] = {}
        self.counter = 0

    def next_id(self, prefix: str) -> str:
        self.counter += 1
        return f"{prefix}-{self.counter}"

    def append(self, record: base.Record) -> codes.ResultCode:
        self.sent.append(record)
        return self.append_payload(records.encode_record(record), record.record_id)

    def append_payload(self, payload: bytes, record_id: str = "") -> codes.ResultCode:
        entry = service.LogEntry(len(self.entries), self.now_ms, payload)
        self.entries.append(entry)
        code = state.apply_entry(self.first, entry)
        assert code != codes.ResultCode.INTERNAL_ERROR
        if code not in (
            codes.ResultCode.RECORD_DUPLICATE,
            codes.ResultCode.RECORD_INVALID,
            codes.ResultCode.RECORD_TOO_OLD,
            codes.ResultCode.RECORD_ISSUED_AHEAD,
        ):
            assert record_id not in self.applied_ids, "applied twice"
            self.applied_ids.add(record_id)
        return code

    @stateful.rule(jump_ms=jumps_ms)
    def advance(self, jump_ms: int) -> None:
        self.now_ms += jump_ms

    @stateful.rule(back_ms=st.sampled_from((1, 5_000)))
    def append_at_decreasing_time(self, back_ms: int) -> None:
        before_ms = self.first.log_time_ms
        self.now_ms -= back_ms
        self.append_payload(b"{}")
        self.now_ms += back_ms
        assert self.first.log_time_ms >= before_ms

    @stateful.rule(payload=st.sampled_from((b"", b"\xff", b"null", b'{"kind":"x"}')))
    def append_garbage(self, payload: bytes) -> None:
        assert self.append_payload(payload) == codes.ResultCode.RECORD_INVALID

    @stateful.rule(data=st.data())
    @stateful.precondition(lambda self: self.sent)
    def append_again(self, data: st.DataObject) -> None:
        """Append a record again, as after a lost reply or by a paused node."""
        record = data.draw(st.sampled_from(self.sent))
        code = self.append_payload(records.encode_record(record), record.record_id)
        self.follow_model(record, code)

    @stateful.rule(
        environment=st.sampled_from(("trial", "production")),
        document=st.sampled_from(_DOCUMENTS),
        stale=st.sampled_from((0, 0, 0, 1, 5)),
        author=authors,
        skew_ms=skews_ms,
    )
    def publish(
        self,
        environment: document_messages.Environment,
        document: model.Document,
        stale: int,
        author: str,
        skew_ms: int,
    ) -> None:
        record = document_messages.DocumentPublished(
            record_id=self.next_id("publish"),
            issued_ms=self.now_ms + skew_ms,
            author=author,
            environment=environment,
            replaces=max(0, self.revisions[environment] - stale),
            document=document,
        )
        self.follow_model(record, self.append(record))

    @stateful.rule(data=st.data(), stale=st.sampled_from((0, 0, 1)), author=authors)
    def promote(self, data: st.DataObject, stale: int, author: str) -> None:
        known = sorted(self.documents_by_trial_revision)
        revisions = st.sampled_from([0, len(self.entries), *known, *known[-1:]])
        record = document_messages.DocumentPromoted(
            record_id=self.next_id("promote"),
            issued_ms=self.now_ms,
            author=author,
            trial_revision=data.draw(revisions),
            replaces=max(0, self.revisions["production"] - stale),
        )
        self.follow_model(record, self.append(record))

    @stateful.rule(data=st.data(), skew_ms=skews_ms, author=authors)
    def claim(self, data: st.DataObject, skew_ms: int, author: str) -> None:
        known = list(self.issued_ms_by_request_id)
        if not known or data.draw(st.booleans()):
            request_id = f"{self.now_ms + skew_ms}-{self.next_id('request')}"
            self.issued_ms_by_request_id[request_id] = self.now_ms + skew_ms
        else:
            request_id = data.draw(st.sampled_from(known))
        record = claim_messages.RequestClaims(
            record_id=self.next_id("claim"),
            issued_ms=self.now_ms,
            author=author,
            claims=(
                claim_messages.Claim(request_id=request_id, claim_id=self.next_id("c")),
                claim_messages.Claim(request_id="no-time", claim_id="x"),
            ),
        )
        self.follow_model(record, self.append(record))

    @stateful.rule(data=st.data(), is_holder=st.booleans(), author=authors)
    @stateful.precondition(lambda self: self.winner_by_request_id)
    def release(self, data: st.DataObject, is_holder: bool, author: str) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.winner_by_request_id)))
        claim_id = self.winner_by_request_id[request_id]
        record = claim_messages.RequestReleases(
            record_id=self.next_id("release"),
            issued_ms=self.now_ms,
            author=author,
            claims=(
                claim_messages.Claim(
                    request_id=request_id,
                    claim_id=claim_id if is_holder else "another",
                ),
            ),
        )
        self.follow_model(record, self.append(record))

    @stateful.rule(
        duty=st.sampled_from(("waves", "capacity")),
        lease_ms=st.sampled_from((-5, 1_000, 10_000, 10**9)),
        author=authors,
    )
    def claim_duty(self, duty: str, lease_ms: int, author: str) -> None:
        record = duty_messages.DutyClaimed(
            record_id=self.next_id("duty"),
            issued_ms=self.now_ms,
            author=author,
            duty=duty,
            lease_ms=lease_ms,
        )
        self.follow_model(record, self.append(record))

    @stateful.rule(duty=st.sampled_from(("waves", "capacity")), author=authors)
    def release_duty(self, duty: str, author: str) -> None:
        record = duty_messages.DutyReleased(
            record_id=self.next_id("duty"),
            issued_ms=self.now_ms,
            author=author,
            duty=duty,
        )
        self.follow_model(record, self.append(record))

    @stateful.rule(data=st.data(), host_id=st.sampled_from(_HOSTS), author=authors)
    def change_host(self, data: st.DataObject, host_id: str, author: str) -> None:
        host = self.first.pools.hosts_by_id.get(host_id)
        wave = self.first.waves.waves_by_pool.get("a")
        common: dict[str, object] = {
            "record_id": self.next_id("host"),
            "issued_ms": self.now_ms,
            "author": author,
        }
        at_host = {**common, "host_id": host_id}
        operation = host.out.operation_id if host is not None and host.out else "none"
        candidates: list[base.Record] = [
            pool_messages.HostTakenOut.model_validate(
                {
                    **at_host,
                    "pool": "a" if host is None else host.pool,
                    "host_revision": -1 if host is None else host.revision,
                    "reason": reason,
                    "to_pool": "b" if reason == "move" else None,
                    "wave_id": wave.wave_id if wave else None,
                }
            )
            for reason in ("move", "maintenance")
        ]
        for kind in (pool_messages.HostMoved, pool_messages.HostReturned):
            candidates.append(
                kind.model_validate({**at_host, "operation_id": operation})
            )
        for other in (pool_messages.HostFailed, pool_messages.HostRecovered):
            candidates.append(other.model_validate(at_host))
        candidates.append(
            wave_messages.WaveStarted.model_validate(
                {**common, "pool": "a", "host_ids": ("h0", "h1")}
            )
        )
        if wave is not None:
            candidates.append(
                wave_messages.WaveFinished.model_validate(
                    {**common, "wave_id": wave.wave_id, "reason": "done"}
                )
            )
        self.append(data.draw(st.sampled_from(candidates)))

    @stateful.rule(count=st.integers(1, 20))
    def let_second_catch_up(self, count: int) -> None:
        start = self.second.offset + 1
        for entry in self.entries[start : start + count]:
            state.apply_entry(self.second, entry)

    @stateful.rule()
    def load_snapshot_on_second(self) -> None:
        chunks = snapshot.make_chunks(
            self.first.offset, snapshot.encode_state(self.first), "a", self.now_ms
        )
        self.second = snapshot.rebuild(chunks)

    def follow_model(self, record: base.Record, code: codes.ResultCode) -> None:
        """Check a result against the model and follow it."""
        is_refused_by_age = code in (
            codes.ResultCode.RECORD_DUPLICATE,
            codes.ResultCode.RECORD_TOO_OLD,
            codes.ResultCode.RECORD_ISSUED_AHEAD,
            codes.ResultCode.RECORD_INVALID,
        )
        if is_refused_by_age:
            return
        is_ok = code == codes.ResultCode.OK
        match record:
            case document_messages.DocumentPublished():
                current = self.revisions[record.environment]
                assert is_ok == (record.replaces == current)
                if is_ok:
                    self.revisions[record.environment] = len(self.entries)
                    if record.environment == "trial":
                        revision = len(self.entries)
                        self.documents_by_trial_revision[revision] = record.document
            case document_messages.DocumentPromoted():
                assert is_ok == (
                    record.trial_revision == self.revisions["trial"] > 0
                    and record.replaces == self.revisions["production"]
                )
                if is_ok:
                    self.revisions["production"] = len(self.entries)
                    assert (
                        self.first.documents.production
                        == self.documents_by_trial_revision[record.trial_revision]
                    )
            case claim_messages.RequestClaims():
                self.follow_claim(record.claims[0])
            case claim_messages.RequestReleases():
                claim = record.claims[0]
                if self.winner_by_request_id.get(claim.request_id) == claim.claim_id:
                    del self.winner_by_request_id[claim.request_id]
            case duty_messages.DutyClaimed() | duty_messages.DutyReleased():
                self.follow_duty(record, is_ok)

    def follow_claim(self, claim: claim_messages.Claim) -> None:
        held = self.first.claims.claims_by_request_id.get(claim.request_id)
        if held is None or held.claim_id != claim.claim_id:
            return
        # A winner that was not released may have run its request, for ever.
        winner = self.winner_by_request_id.setdefault(claim.request_id, claim.claim_id)
        assert winner == claim.claim_id, "two claims won one request"

    def follow_duty(
        self,
        record: duty_messages.DutyClaimed | duty_messages.DutyReleased,
        is_ok: bool,
    ) -> None:
        held = self.leases.get(record.duty)
        now_ms = self.first.log_time_ms
        is_other = held is not None and held.holder != record.author
        if isinstance(record, duty_messages.DutyReleased):
            assert is_ok == (held is not None and not is_other)
            if is_ok:
                del self.leases[record.duty]
            return
        assert is_ok == (held is None or not is_other or now_ms >= held.until_ms)
        if is_ok:
            until_ms = now_ms + min(record.lease_ms, 60_000)
            self.leases[record.duty] = Held(record.author, until_ms)

    @stateful.invariant()
    def documents_never_revert(self) -> None:
        for environment, revision in self.revisions.items():
            assert self.first.documents.revision_of(environment) == revision

    @stateful.invariant()
    def claims_expire(self) -> None:
        # Guards against memory that grows for ever: a claim goes at the latest 660 s
        # after its append, and its id was at most 600 s old then.
        oldest_ms = self.first.log_time_ms - 600_000 - 660_000
        for held in self.first.claims.claims_by_request_id.values():
            assert held.issued_ms >= oldest_ms

    def teardown(self) -> None:
        """Compare with a node that folds everything from the start."""
        fresh = state.FleetState()
        for entry in self.entries:
            state.apply_entry(fresh, entry)
        for entry in self.entries[self.second.offset + 1 :]:
            state.apply_entry(self.second, entry)
        assert fresh == self.first
        assert self.second == self.first


TestFold = FoldMachine.TestCase
TestFold.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    suppress_health_check=list(hypothesis.HealthCheck),
)
