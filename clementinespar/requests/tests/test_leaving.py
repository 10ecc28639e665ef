"""Tests that a leaving target gets no new work after the objective of 3 s."""

import asyncio
import dataclasses

import pytest

from clementinespar.pools import state as pools_state
from clementinespar.requests import dispatcher, model, targets
from clementinespar.requests.tests import helpers
from clementinespar.tests import fleets, paused_clock
from standins import fake_target

_OBJECTIVE_S = 3.0
_LEAVING = "h1"


def _take_out(source: helpers.FakeSource) -> None:
    """Mark the host as out in the fold, as a host_taken_out record does."""
    source.state.pools.hosts_by_id[_LEAVING].out = pools_state.HostOut(
        "operation", 1, "maintenance", "test", 0, None, "wave"
    )


def _list_as_leaving(host_list: fleets.FixedHostList) -> None:
    assert host_list.latest is not None
    hosts = dict(host_list.latest.hosts_by_id)
    hosts[_LEAVING] = dataclasses.replace(hosts[_LEAVING], condition="leaving")
    host_list.latest = dataclasses.replace(host_list.latest, hosts_by_id=hosts)


@pytest.mark.parametrize("signal", ["record", "host list", "target"])
@pytest.mark.parametrize("kind", ["plan", "order"])
def test_any_one_signal_stops_new_work(signal: str, kind: str) -> None:
    """Guards against work for a leaving target that only one of three signals shows."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        document = helpers.make_document(host_count=4)
        source = helpers.FakeSource(document)
        host_list = fleets.FixedHostList(fleets.full_list(document, 0))
        fakes = helpers.make_fakes(4)
        transport = fake_target.FakeTargetTransport(fakes)
        owner = dispatcher.Dispatcher(
            source,
            targets.FleetTargetDirectory(source, host_list),
            transport,
            helpers.FakeClaimService(source),
        )

        async def send(number: int) -> model.Outcome:
            request = model.Request(
                request_id=f"{number}-{kind}",
                service="scale",
                kind=kind,
                body=b'{"run_ms": 20}',
                content_type="application/json",
                deadline=loop.time() + 10.0,
            )
            return await owner.handle(request, lambda: None)

        async def send_for(seconds: float, first: int) -> list[model.Outcome]:
            tasks = []
            for number in range(int(seconds * 50)):
                tasks.append(loop.create_task(send(first + number)))
                await asyncio.sleep(0.02)
            return await asyncio.gather(*tasks)

        async with transport.running(), owner.running():
            leaving = fakes[_LEAVING].state
            await send_for(2.0, 0)
            assert leaving.runs_by_request_id.total() > 0
            match signal:
                case "record":
                    _take_out(source)
                case "host list":
                    _list_as_leaving(host_list)
                case _:
                    leaving.faults.leaving = True
            outcomes = await send_for(_OBJECTIVE_S, 1_000)
            runs = leaving.runs_by_request_id.total()
            refused = leaving.refused_leaving
            outcomes += await send_for(5.0, 2_000)
            assert leaving.runs_by_request_id.total() == runs
            assert leaving.refused_leaving == refused
            assert {outcome.kind for outcome in outcomes} == {
                model.OutcomeKind.ANSWERED
            }

    paused_clock.run(main())
