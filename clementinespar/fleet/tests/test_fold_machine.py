"""State machine test of the fold, with two nodes and snapshots at any offset."""

from typing import Any

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

# Codes of records that are refused before the fold dispatches them.
_REFUSED_BEFORE_DISPATCH = (
    codes.ResultCode.RECORD_DUPLICATE,
    codes.ResultCode.RECORD_INVALID,
    codes.ResultCode.RECORD_TOO_OLD,
    codes.ResultCode.RECORD_ISSUED_AHEAD,
)

authors = st.sampled_from(("node-a", "node-b", "node-c"))
# Issue times relative to log time, around every time limit of the fold.
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


class FoldMachine(stateful.RuleBasedStateMachine):
    """Appends records and compares the fold with simple models of the invariants."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = _START_MS
        self.entries: list[service.LogEntry] = []
        self.sent: list[base.Record] = []
        self.first = state.FleetState()  # node that applies entries at once
        self.second = state.FleetState()  # node that lags and loads snapshots
        self.applied_ids: set[str] = set()
        self.revisions = {"trial": 0, "production": 0}
        self.documents_by_trial_revision: dict[int, model.Document] = {}
        self.request_ids: list[str] = []
        self.winner_by_request_id: dict[str, str] = {}
        self.lease_by_duty: dict[str, tuple[str, int]] = {}  # lease holder, end

    def append_payload(self, payload: bytes) -> codes.ResultCode:
        entry = service.LogEntry(len(self.entries), self.now_ms, payload)
        self.entries.append(entry)
        code = state.apply_entry(self.first, entry)
        assert code != codes.ResultCode.INTERNAL_ERROR
        return code

    def append(self, record: base.Record) -> None:
        self.sent.append(record)
        code = self.append_payload(records.encode_record(record))
        if code not in _REFUSED_BEFORE_DISPATCH:
            assert record.record_id not in self.applied_ids, "applied twice"
            self.applied_ids.add(record.record_id)
            self.check_models(record, code == codes.ResultCode.OK)

    def append_new(
        self,
        kind: type[base.Record],
        skew_ms: int = 0,
        author: str = "node-a",
        **fields: Any,
    ) -> None:
        fields["record_id"] = f"record-{len(self.entries)}"
        fields["issued_ms"] = self.now_ms + skew_ms
        self.append(kind.model_validate({"author": author, **fields}))

    @stateful.rule(jump_ms=jumps_ms)
    def advance(self, jump_ms: int) -> None:
        self.now_ms += jump_ms

    @stateful.rule(payload=st.sampled_from((b"", b"\xff", b"null", b'{"kind":"x"}')))
    def append_garbage_at_decreasing_time(self, payload: bytes) -> None:
        before_ms = self.first.log_time_ms
        self.now_ms -= 5_000
        assert self.append_payload(payload) == codes.ResultCode.RECORD_INVALID
        self.now_ms += 5_000
        assert self.first.log_time_ms >= before_ms

    @stateful.rule(data=st.data())
    @stateful.precondition(lambda self: self.sent)
    def append_again(self, data: st.DataObject) -> None:
        """Append a record again, as after a lost reply or a pause of its node."""
        self.append(data.draw(st.sampled_from(self.sent)))

    @stateful.rule(
        environment=st.sampled_from(("trial", "production")),
        document=st.sampled_from(_DOCUMENTS),
        stale=st.sampled_from((0, 0, 0, 1, 5)),
        skew_ms=skews_ms,
    )
    def publish(
        self, environment: str, document: model.Document, stale: int, skew_ms: int
    ) -> None:
        self.append_new(
            document_messages.DocumentPublished,
            skew_ms,
            environment=environment,
            replaces=max(0, self.revisions[environment] - stale),
            document=document,
        )

    @stateful.rule(data=st.data(), stale=st.sampled_from((0, 0, 1)))
    def promote(self, data: st.DataObject, stale: int) -> None:
        known = sorted(self.documents_by_trial_revision)
        revisions = st.sampled_from([0, len(self.entries), *known, *known[-1:]])
        self.append_new(
            document_messages.DocumentPromoted,
            trial_revision=data.draw(revisions),
            replaces=max(0, self.revisions["production"] - stale),
        )

    @stateful.rule(data=st.data(), skew_ms=skews_ms, author=authors)
    def claim(self, data: st.DataObject, skew_ms: int, author: str) -> None:
        if not self.request_ids or data.draw(st.booleans()):
            self.request_ids.append(f"{self.now_ms + skew_ms}-{len(self.entries)}")
        claims = (
            {
                "request_id": data.draw(st.sampled_from(self.request_ids)),
                "claim_id": f"claim-{len(self.entries)}",
            },
            {"request_id": "no-time", "claim_id": "x"},
        )
        self.append_new(claim_messages.RequestClaims, author=author, claims=claims)

    @stateful.rule(data=st.data(), is_winner=st.booleans(), author=authors)
    @stateful.precondition(lambda self: self.winner_by_request_id)
    def release(self, data: st.DataObject, is_winner: bool, author: str) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.winner_by_request_id)))
        claim_id = self.winner_by_request_id[request_id] if is_winner else "another"
        claims = ({"request_id": request_id, "claim_id": claim_id},)
        self.append_new(claim_messages.RequestReleases, author=author, claims=claims)

    @stateful.rule(
        duty=st.sampled_from(("waves", "capacity")),
        lease_ms=st.sampled_from((None, -5, 1_000, 10_000, 10**9)),
        author=authors,
    )
    def change_duty(self, duty: str, lease_ms: int | None, author: str) -> None:
        if lease_ms is None:
            self.append_new(duty_messages.DutyReleased, author=author, duty=duty)
        else:
            self.append_new(
                duty_messages.DutyClaimed, author=author, duty=duty, lease_ms=lease_ms
            )

    @stateful.rule(
        host_id=st.sampled_from(_HOSTS),
        kind=st.sampled_from(
            (
                pool_messages.HostTakenOut,
                pool_messages.HostMoved,
                pool_messages.HostReturned,
                pool_messages.HostFailed,
                pool_messages.HostRecovered,
                wave_messages.WaveStarted,
                wave_messages.WaveFinished,
            )
        ),
        reason=st.sampled_from(("move", "maintenance")),
    )
    def change_host(self, host_id: str, kind: type[base.Record], reason: str) -> None:
        """Append a record whose fields match the state as far as possible."""
        host = self.first.pools.hosts_by_id.get(host_id)
        wave = self.first.waves.waves_by_pool.get("a")
        fields: dict[str, Any] = {
            "host_id": host_id,
            "pool": "a"
            if host is None or kind is wave_messages.WaveStarted
            else host.pool,
            "host_revision": -1 if host is None else host.revision,
            "reason": reason,
            "to_pool": "b" if reason == "move" else None,
            "wave_id": wave.wave_id if wave else "none",
            "operation_id": host.out.operation_id if host and host.out else "none",
            "host_ids": ("h0", "h1"),
        }
        self.append_new(
            kind, **{k: v for k, v in fields.items() if k in kind.model_fields}
        )

    @stateful.rule(count=st.integers(1, 20))
    def let_second_catch_up(self, count: int) -> None:
        start = self.second.offset + 1
        for entry in self.entries[start : start + count]:
            state.apply_entry(self.second, entry)

    @stateful.rule()
    def load_snapshot_on_second(self) -> None:
        data = snapshot.encode_state(self.first)
        chunks = snapshot.make_chunks(self.first.offset, data, "a", self.now_ms)
        self.second = snapshot.rebuild(chunks)

    def check_models(self, record: base.Record, is_ok: bool) -> None:
        """Check the result of a record against the models and update them."""
        match record:
            case document_messages.DocumentPublished():
                assert is_ok == (record.replaces == self.revisions[record.environment])
                if is_ok:
                    revision = self.revisions[record.environment] = len(self.entries)
                    if record.environment == "trial":
                        self.documents_by_trial_revision[revision] = record.document
            case document_messages.DocumentPromoted():
                assert is_ok == (
                    record.trial_revision == self.revisions["trial"] > 0
                    and record.replaces == self.revisions["production"]
                )
                if is_ok:
                    self.revisions["production"] = len(self.entries)
                    trial = self.documents_by_trial_revision[record.trial_revision]
                    assert self.first.documents.production == trial
            case claim_messages.RequestClaims():
                claim = record.claims[0]
                stored_claim = self.first.claims.claims_by_request_id.get(
                    claim.request_id
                )
                if stored_claim is not None and stored_claim.claim_id == claim.claim_id:
                    # A winner that is not released may have run its request, so no
                    # other claim may win, even after the claim has expired.
                    winner = self.winner_by_request_id.setdefault(
                        claim.request_id, claim.claim_id
                    )
                    assert winner == claim.claim_id, "two claims won one request"
            case claim_messages.RequestReleases():
                claim = record.claims[0]
                if self.winner_by_request_id.get(claim.request_id) == claim.claim_id:
                    del self.winner_by_request_id[claim.request_id]
            case duty_messages.DutyReleased():
                holder, _ = self.lease_by_duty.get(record.duty, ("", 0))
                assert is_ok == (holder == record.author)
                if is_ok:
                    del self.lease_by_duty[record.duty]
            case duty_messages.DutyClaimed():
                now_ms = self.first.log_time_ms
                holder, until_ms = self.lease_by_duty.get(record.duty, ("", 0))
                assert is_ok == (holder == record.author or now_ms >= until_ms)
                if is_ok:
                    until_ms = now_ms + min(record.lease_ms, 60_000)
                    self.lease_by_duty[record.duty] = (record.author, until_ms)

    @stateful.invariant()
    def documents_never_revert(self) -> None:
        documents = self.first.documents
        assert documents.revision_of("trial") == self.revisions["trial"]
        assert documents.revision_of("production") == self.revisions["production"]

    @stateful.invariant()
    def claims_expire(self) -> None:
        # Guards against unbounded memory: a claim expires at the latest 660 s after its
        # append, when its id was at most 600 s old.
        oldest_ms = self.first.log_time_ms - 600_000 - 660_000
        for stored_claim in self.first.claims.claims_by_request_id.values():
            assert stored_claim.issued_ms >= oldest_ms

    def teardown(self) -> None:
        """Compare with a node that folds all entries from the start."""
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
