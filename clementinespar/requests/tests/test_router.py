"""Tests of the routing of requests to owners."""

import asyncio
import dataclasses
from collections.abc import Callable

import pytest

from clementinespar import codes
from clementinespar.requests import model, router
from clementinespar.requests.tests import helpers
from clementinespar.tests import paused_clock

_NOT_RUN = model.OutcomeKind.NOT_RUN
_UNKNOWN = model.OutcomeKind.UNKNOWN
_ANSWERED = model.OutcomeKind.ANSWERED


@dataclasses.dataclass
class _Owner:
    """Owner with a fixed outcome."""

    outcome: model.Outcome
    starts: bool = False

    async def handle(
        self, request: model.Request, on_started: Callable[[], None]
    ) -> model.Outcome:
        if self.starts:
            on_started()
        return self.outcome


@dataclasses.dataclass
class _Directory:
    owners: list[_Owner]

    def candidates(self, service: str) -> list[model.OwnerCandidate]:
        return [
            model.OwnerCandidate(f"n{number}", owner, False)
            for number, owner in enumerate(self.owners)
        ]


@pytest.mark.parametrize(
    ("kind", "first_kind", "first_code", "starts", "is_passed_on"),
    [
        ("order", _NOT_RUN, codes.ResultCode.OWNER_UNREACHABLE, False, True),
        ("order", _NOT_RUN, codes.ResultCode.NODE_STOPPING, False, True),
        ("order", _NOT_RUN, codes.ResultCode.QUEUE_FULL, False, False),
        ("order", _UNKNOWN, codes.ResultCode.OWNER_LOST, False, False),
        ("order", _UNKNOWN, codes.ResultCode.TARGET_SILENT, True, False),
        ("plan", _UNKNOWN, codes.ResultCode.OWNER_LOST, False, True),
        ("plan", _UNKNOWN, codes.ResultCode.OWNER_LOST, True, False),
        ("none", _UNKNOWN, codes.ResultCode.OWNER_LOST, False, False),
        ("plan", _NOT_RUN, codes.ResultCode.OWNER_UNREACHABLE, True, False),
    ],
)
def test_next_owner_only_when_the_first_did_not_start(
    kind: str,
    first_kind: model.OutcomeKind,
    first_code: codes.ResultCode,
    starts: bool,
    is_passed_on: bool,
) -> None:
    """Guards against a second run through a second owner."""

    async def main() -> None:
        first = _Owner(model.Outcome(first_kind, first_code), starts)
        second = _Owner(model.Outcome(_ANSWERED, codes.ResultCode.OK, body=b"x"), True)
        ingress = router.Router(
            _Directory([first, second]), helpers.FakeSource(helpers.make_document())
        )
        deadline = asyncio.get_running_loop().time() + 5
        request = model.Request("1-a", "scale", kind, b"", "", deadline)
        outcome = await ingress.handle(request)
        assert outcome.kind is (_ANSWERED if is_passed_on else first_kind)
        explanation = ingress.explain("1-a")
        assert explanation is not None
        assert explanation["state"] == outcome.kind.value
        assert not ingress._recent_by_request_id["1-a"].outcome.body  # type: ignore
        assert explanation["because"][0] == "handed to " + (
            "n0 then n1" if is_passed_on else "n0"
        )

    paused_clock.run(main())


def test_no_owner_is_not_run_and_old_requests_are_forgotten() -> None:
    """Guards against a record of outcomes that grows without bound."""

    async def main() -> None:
        ingress = router.Router(_Directory([]), helpers.FakeSource(None))
        deadline = asyncio.get_running_loop().time() + 5
        for number in range(router.MAX_RECENT_REQUESTS + 1):
            request = model.Request(f"{number}-a", "scale", "plan", b"", "", deadline)
            outcome = await ingress.handle(request)
        assert outcome.code == codes.ResultCode.NOT_READY
        assert outcome.kind is _NOT_RUN
        assert ingress.explain("0-a") is None
        assert ingress.explain("1-a") is not None

    paused_clock.run(main())
