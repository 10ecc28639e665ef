"""Random sequences of concurrent planners, failures and documents applied to the fold.

After every record, no accepted host_taken_out leaves a pool below its budget (I1), and
every host belongs to exactly one pool (I2). The checks do not use the code under test.
"""

import collections
import math

from hypothesis import settings, stateful
from hypothesis import strategies as st

from clementinespar import codes
from clementinespar.capacity import demand as capacity_demand
from clementinespar.capacity import planner as capacity_planner
from clementinespar.documents import messages as document_messages
from clementinespar.documents import model
from clementinespar.fleet import snapshot as fleet_snapshot
from clementinespar.fleet import state as fleet_state
from clementinespar.log import base, records
from clementinespar.pools import availability, messages
from clementinespar.tests import fleets
from clementinespar.waves import planner as wave_planner

_A = fleets.host_ids("a", 6)
_B = fleets.host_ids("b", 4)
_C = fleets.host_ids("c", 4)
_SERVICES = {"sa": "a", "sb": "b"}
_DOCUMENTS = [
    fleets.make_document(
        {"a": _A, "b": _B, "c": _C},
        min_available={"a": 4, "b": 2, "c": 0},
        spare="c",
        services=_SERVICES,
        survive="rack",
    ),
    fleets.make_document(  # pool c is removed and its hosts have a new home
        {"a": _A, "b": [*_B, *_C]}, min_available=3, services=_SERVICES
    ),
    fleets.make_document(  # some hosts are removed, and others have a new home
        {"a": _A[:5], "b": [*_B[:2], *_C[:2]], "c": [*_B[2:], *_C[2:]]},
        min_available={"a": 4, "b": 2, "c": 1},
        max_out_per_rack=2,
        services=_SERVICES,
        survive="data_centre",
        max_wave_hosts=2,
    ),
    fleets.make_document(  # no pool can lend a host or take one out
        {"a": _A, "b": _B, "c": _C},
        min_available={"a": 6, "b": 4, "c": 4},
        services=_SERVICES,
        paused=True,
    ),
]
_HOSTS = st.sampled_from([*_A, *_B, *_C])
_POOLS = st.sampled_from(["a", "b", "c"])
_NODES = st.integers(0, 2)
# "paused": decides on a fresh state, but pauses before it appends.
# "stale": decides on the state that it has, and pauses too.
_VIEWS = st.sampled_from(["fresh", "fresh", "paused", "stale"])


class _Node:
    """A planner with a possibly outdated fold; its records wait while it is paused."""

    def __init__(self) -> None:
        self.state = fleet_state.FleetState()
        self.waiting: list[bytes] = []
        self.is_paused = False


class RacingPlanners(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.fold = fleets.Fold()
        self.codes: list[codes.ResultCode] = []
        self.nodes = [_Node() for _ in range(3)]
        self._append(
            self.fold.make(
                document_messages.DocumentPublished,
                environment="production",
                replaces=0,
                document=_DOCUMENTS[0],
            )
        )

    @stateful.rule(node=_NODES, view=_VIEWS, missing=st.sets(_HOSTS, max_size=2))
    def plan_waves(self, node: int, view: str, missing: set[str]) -> None:
        planner = self._prepare(node, view)
        document = planner.state.documents.production
        if document is None:
            return
        plan = wave_planner.plan(
            wave_planner.Situation(
                document,
                planner.state.pools,
                planner.state.waves,
                planner.state.log_time_ms,
                availability.Observation(0.0, dict.fromkeys(missing, "missing")),
            )
        )
        for decision in plan.decisions:
            self._send(planner, decision.to_record("test", self.fold.now_ms))

    @stateful.rule(
        node=_NODES,
        view=_VIEWS,
        slots_a=st.sampled_from([0.0, 20.0, 60.0]),
        slots_b=st.sampled_from([0.0, 20.0, 60.0]),
    )
    def plan_capacity(
        self, node: int, view: str, slots_a: float, slots_b: float
    ) -> None:
        planner = self._prepare(node, view)
        document = planner.state.documents.production
        if document is None:
            return
        demand = {
            name: capacity_demand.ServiceDemand(name, slots, 0.0, 0.0)
            for name, slots in (("sa", slots_a), ("sb", slots_b))
        }
        situation = capacity_planner.Situation(
            document,
            planner.state.pools,
            demand,
            0.0,
            availability.Observation(0.0, {}),
        )
        long_ago = collections.defaultdict(
            lambda: -math.inf, dict.fromkeys("abc", -1e9)
        )
        plan = capacity_planner.plan(
            situation,
            capacity_planner.compute_needs(situation),
            capacity_planner.History(long_ago, long_ago),
        )
        for move in plan.moves:
            self._send(planner, move.to_record("test", self.fold.now_ms))

    @stateful.rule(node=_NODES, view=_VIEWS, host_id=_HOSTS, to_pool=_POOLS)
    def propose_any_move(
        self, node: int, view: str, host_id: str, to_pool: str
    ) -> None:
        planner = self._prepare(node, view)
        host = planner.state.pools.hosts_by_id.get(host_id)
        if host is not None:
            self._send(
                planner,
                self.fold.make(
                    messages.HostTakenOut,
                    host_id=host_id,
                    pool=host.pool,
                    host_revision=host.revision,
                    reason="move",
                    to_pool=to_pool,
                ),
            )

    @stateful.rule(
        node=_NODES,
        view=_VIEWS,
        steps=st.sampled_from(
            [
                (messages.HostMoved,),
                (messages.HostReturned,),
                (messages.HostMoved, messages.HostReturned),
            ]
        ),
    )
    def finish_steps(
        self, node: int, view: str, steps: tuple[type[base.Record], ...]
    ) -> None:
        planner = self._prepare(node, view)
        for host in planner.state.pools.hosts_by_id.values():
            if host.out is not None:
                for step in steps:
                    self._send(
                        planner,
                        self.fold.make(
                            step,
                            host_id=host.host_id,
                            operation_id=host.out.operation_id,
                        ),
                    )

    @stateful.rule(node=_NODES, count=st.integers(1, 8), is_reply_lost=st.booleans())
    def append_pending(self, node: int, count: int, is_reply_lost: bool) -> None:
        planner = self.nodes[node]
        for payload in planner.waiting[:count]:
            self._append_payload(payload)
        if not is_reply_lost:  # otherwise the same records are appended again later
            del planner.waiting[:count]

    @stateful.rule(seed=_HOSTS, length=st.sampled_from([None, 4, 2]))
    def fail(self, seed: str, length: int | None) -> None:
        # The first two characters are the data centre, the first four the rack.
        for host_id in list(self.fold.state.pools.hosts_by_id):
            if host_id[:length] == seed[:length]:
                self._append(self.fold.make(messages.HostFailed, host_id=host_id))

    @stateful.rule(still_failed=st.sets(_HOSTS, max_size=2))
    def recover(self, still_failed: set[str]) -> None:
        for host in list(self.fold.state.pools.hosts_by_id.values()):
            if host.failed_since_ms is not None and host.host_id not in still_failed:
                self._append(
                    self.fold.make(messages.HostRecovered, host_id=host.host_id)
                )

    @stateful.rule(document=st.sampled_from(_DOCUMENTS))
    def publish(self, document: model.Document) -> None:
        self._append(
            self.fold.make(
                document_messages.DocumentPublished,
                environment="production",
                replaces=self.fold.state.documents.revision_of("production"),
                document=document,
            )
        )

    @stateful.rule(seconds=st.sampled_from([1, 60, 86_400]))
    def pass_time(self, seconds: int) -> None:
        self.fold.now_ms += seconds * 1000

    def teardown(self) -> None:
        refolded = fleet_state.FleetState()
        assert [
            fleet_state.apply_entry(refolded, entry) for entry in self.fold.entries
        ] == self.codes
        assert refolded == self.fold.state
        encoded = fleet_snapshot.encode_state(self.fold.state)
        assert fleet_snapshot.decode_state(encoded) == self.fold.state
        # Guards against hosts that can never return to service.
        for host in list(self.fold.state.pools.hosts_by_id.values()):
            if host.out is None:
                continue
            for step in (messages.HostMoved, messages.HostReturned):
                self._append(
                    self.fold.make(
                        step,
                        host_id=host.host_id,
                        operation_id=host.out.operation_id,
                    )
                )
            assert host.out is None

    def _prepare(self, node: int, view: str) -> _Node:
        """Return a node; it appends its records at once only if its view is fresh."""
        planner = self.nodes[node]
        planner.is_paused = view != "fresh"
        if view != "stale":
            for entry in self.fold.entries[planner.state.offset + 1 :]:
                fleet_state.apply_entry(planner.state, entry)
        return planner

    def _send(self, node: _Node, record: base.Record) -> None:
        if node.is_paused:
            node.waiting.append(records.encode_record(record))
        else:
            self._append(record)

    def _append(self, record: base.Record) -> None:
        self._append_payload(records.encode_record(record))

    def _append_payload(self, payload: bytes) -> None:
        record = records.parse_record(payload)
        pools = self.fold.state.pools
        host = None
        if isinstance(record, messages.HostTakenOut):
            host = pools.hosts_by_id.get(record.host_id)
        was_available = host is not None and host.is_available
        code = self.fold.apply_payload(payload)
        self.codes.append(code)
        if code == codes.ResultCode.OK and host is not None and was_available:
            fleets.check_budget(self.fold.state, host)
        fleets.check_membership(self.fold.state)


RacingPlanners.TestCase.settings = settings(
    derandomize=True, max_examples=300, stateful_step_count=50, deadline=None
)
TestRacingPlanners = RacingPlanners.TestCase
