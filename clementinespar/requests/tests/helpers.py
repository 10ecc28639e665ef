"""Documents and fakes that the tests of the request path share."""

import asyncio
import dataclasses
from collections.abc import Sequence

from clementinespar import codes
from clementinespar.claims import state as claims_state
from clementinespar.documents import model as document_model
from clementinespar.documents import state as documents_state
from clementinespar.fleet import state as fleet_state
from clementinespar.pools import state as pools_state
from clementinespar.requests import model
from standins import fake_target
from standins import target as target_standin


def make_document(
    host_count: int = 4, **service_options: object
) -> document_model.Document:
    """Return a document with one pool and one service ``scale``."""
    host_ids = tuple(f"h{number}" for number in range(host_count))
    options = {"short_run_ms": 250, **service_options}
    return document_model.Document(
        user="test",
        hosts={
            host_id: document_model.Host("d1", f"r{number % 2}")
            for number, host_id in enumerate(host_ids)
        },
        pools={"p": document_model.Pool(host_ids, document_model.Budget(0))},
        services={
            "scale": document_model.Service(
                pool="p",
                kinds={
                    "plan": document_model.Kind(True, 50),
                    "report": document_model.Kind(True, 3000),
                    "order": document_model.Kind(False, 50),
                },
                **options,  # type: ignore[arg-type]
            )
        },
        teams={"small": document_model.Team(2)},
    )


class FakeSource:
    """`FleetSource` whose state is set by tests."""

    state: fleet_state.FleetState

    def __init__(self, document: document_model.Document | None) -> None:
        self.state = fleet_state.FleetState()
        if document is not None:
            in_force = documents_state.DocumentInForce(1, "test", 0, document)
            self.state.documents.in_force_by_environment["production"] = in_force
            pools_state.apply_document(self.state.pools, document, 0)

    async def wait_applied(self, offset: int) -> None:
        """Return at once, as tests change the state directly."""

    async def refresh(self, timeout_s: float) -> bool:
        """Return at once, as tests change the state directly."""
        return True


@dataclasses.dataclass
class FakeTargetDirectory:
    """`TargetDirectory` of all targets that are not marked as leaving."""

    host_ids: list[str]
    leaving: set[str] = dataclasses.field(default_factory=set)

    def targets_of(self, service: str) -> Sequence[model.Target]:
        """Return the targets that are not marked as leaving."""
        return [
            model.Target(host_id, "127.0.0.1", 1, "d1", "r1")
            for host_id in self.host_ids
            if host_id not in self.leaving
        ]

    def lent_targets_of(self, service: str) -> Sequence[model.Target]:
        """Return no targets, as the service does not borrow."""
        return []

    def mark_leaving(self, target: model.Target) -> None:
        """Exclude a target."""
        self.leaving.add(target.host_id)

    def clear_leaving(self, target: model.Target) -> None:
        """Include a target again."""
        self.leaving.discard(target.host_id)


class FakeClaimService:
    """`ClaimService` in memory; ``mode`` selects a fault."""

    source: FakeSource  # its state contains the claims
    mode: str  # ok, down, lost (claimed, but the reply is lost), stuck or broken
    hidden_claims: set[str]  # claims of another node that the fold does not contain yet

    def __init__(self, source: FakeSource) -> None:
        self.source = source
        self.hidden_claims = set()
        self.mode = "ok"

    async def claim(self, request_id: str, timeout_s: float) -> codes.ResultCode:
        """Claim a request id."""
        await asyncio.sleep(0.01)
        match self.mode:
            case "down":
                await asyncio.sleep(timeout_s)
                return codes.ResultCode.CLAIM_UNAVAILABLE
            case "stuck":
                await asyncio.sleep(3600)
            case "broken":
                raise RuntimeError("claim service is broken")
        claims = self.source.state.claims.claims_by_request_id
        if request_id in claims or request_id in self.hidden_claims:
            return codes.ResultCode.ALREADY_CLAIMED
        claims[request_id] = claims_state.StoredClaim("claim", "n1", 0)
        if self.mode == "lost":
            await asyncio.sleep(timeout_s)
            return codes.ResultCode.CLAIM_UNAVAILABLE
        return codes.ResultCode.OK

    async def release(self, request_id: str) -> None:
        """Release a claim."""
        await asyncio.sleep(0.01)
        self.source.state.claims.claims_by_request_id.pop(request_id, None)


def make_fakes(host_count: int, slots: int = 8) -> dict[str, fake_target.FakeTarget]:
    """Return fake targets by host id."""
    return {
        f"h{number}": fake_target.FakeTarget(
            target_standin.TargetState(f"h{number}", slots)
        )
        for number in range(host_count)
    }
