"""Tests of complete nodes with the stand-ins."""

import asyncio
import collections
import json
import signal

import pytest
from tornado import simple_httpclient

from clementinespar import codes, errors, identifiers
from clementinespar import node as entry_node
from clementinespar.tests import node_fleet


def _sees_as_owner(node: entry_node.Node, name: str, service: str) -> bool:
    """Return whether a node sees another one as the owner of a service's queue."""
    return node.peers.candidates(service)[0].node == name


def _service_owned_by(nodes: list[entry_node.Node], name: str) -> str:
    """Return a service whose queue a node owns."""
    for i in range(6):
        if _sees_as_owner(nodes[0], name, f"service-{i}"):
            return f"service-{i}"
    raise AssertionError(f"{name} owns no service")


async def _wait_until_running(fleet: node_fleet.Fleet, count: int = 1) -> None:
    await fleet.wait_until(
        lambda: sum(state.busy_slots for state in fleet.targets) == count
    )


def test_requests_reach_targets_through_any_node() -> None:
    """Guards against requests that fail unless the node that got them is the owner."""

    async def main() -> None:
        async with node_fleet.Fleet().running() as fleet, fleet.nodes(3) as nodes:
            for i in range(6):
                for node in nodes:
                    for kind in ("read", "order"):
                        response = await fleet.request(node, f"service-{i}", kind)
                        assert response.code == 200, response.body
                        assert response.headers["X-Outcome"] == "answered"
            owners = {nodes[0].peers.candidates(f"service-{i}")[0] for i in range(6)}
            assert len({owner.node for owner in owners}) > 1, "nothing was forwarded"

    asyncio.run(main())


def test_stopping_owner_finishes_work_and_hands_its_queues_over() -> None:
    """Guards against a planned stop that aborts or refuses requests."""

    async def main() -> None:
        async with node_fleet.Fleet().running() as fleet, fleet.nodes(3) as nodes:
            ingress, owner = nodes[0], nodes[2]
            service = _service_owned_by(nodes, "n2")
            running = [
                asyncio.create_task(fleet.request(node, service, "order", run_ms=600))
                for node in (ingress, owner)
            ]
            await _wait_until_running(fleet, 2)
            owner.request_stop()
            stopping = asyncio.create_task(owner.stop())
            await asyncio.sleep(0)
            assert (await fleet.admin(owner, "/readyz"))[0] == 503
            while not stopping.done():
                response = await fleet.request(ingress, service, "read")
                assert response.code == 200, response.body
            await stopping
            assert owner.aborted_request_ids == []
            assert [(await task).code for task in running] == [200, 200]
            assert ingress.peers.candidates(service)[0].node != owner.name

    asyncio.run(main())


def test_stop_at_its_limit_reports_aborted_requests() -> None:
    """Guards against a stop that hides requests which exceed its limit."""

    async def main() -> None:
        async with (
            node_fleet.Fleet().running() as fleet,
            fleet.nodes(2) as nodes,
            fleet.node("short", nodes[0], stop_limit_s=0.3) as short,
        ):
            await short.wait_ready()
            service = _service_owned_by(nodes, "n1")
            request_id = identifiers.new_id()
            task = asyncio.create_task(
                fleet.request(short, service, "order", 5_000, request_id)
            )
            await _wait_until_running(fleet)
            short.request_stop()
            await short.stop()
            assert short.aborted_request_ids == [request_id]
            task.cancel()

    asyncio.run(main())


def test_node_started_in_a_log_outage_takes_its_state_from_a_peer() -> None:
    """Guards against a node that serves with an older state than the other nodes."""

    async def main() -> None:
        async with node_fleet.Fleet().running() as fleet, fleet.nodes(2) as nodes:
            fleet.log.faults.down = True
            async with fleet.node("late", nodes[0]) as late:
                offset = nodes[0].follower.state.offset
                while (await fleet.request(late, "service-0")).code != 200:
                    await asyncio.sleep(0.01)
                assert late.follower.state.offset >= offset
                assert not late.follower.is_log_answering

    asyncio.run(main())


def test_node_without_log_and_peers_never_serves() -> None:
    """Guards against a node that runs requests without having read the state."""

    async def main() -> None:
        async with node_fleet.Fleet().running() as fleet:
            fleet.log.faults.down = True
            async with fleet.node("alone") as alone:
                await fleet.wait_until(lambda: bool(alone.follower.last_error))
                status, reply = await fleet.admin(alone, "/readyz")
                assert status == 503
                assert reply["name"] == "NOT_READY"
                response = await fleet.request(alone, "service-0")
                assert response.headers["X-Outcome"] == "not-run"

    asyncio.run(main())


def test_document_reaches_a_node_that_cannot_read_the_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an old document staying in force while the log is unavailable."""

    async def main() -> None:
        async with node_fleet.Fleet().running() as fleet, fleet.nodes(3) as nodes:
            cut_off = nodes[2]

            async def read(*_: object) -> None:
                raise errors.LogUnavailableError("no route to the log")

            monkeypatch.setattr(cut_off.follower._log_service, "read", read)
            revision = cut_off.follower.state.documents.revision_of("production")
            reply = await fleet.publish(nodes[0], "production", revision)
            assert reply["code"] == 0
            assert sorted(reply["in_force_on"]) == ["n0", "n1", "n2"]
            assert reply["not_in_force_on"] == []
            state = cut_off.follower.state
            assert state.documents.revision_of("production") == reply["revision"]

    asyncio.run(main())


def test_process_prints_its_ports_and_stops_on_sigterm() -> None:
    """Guards against scripts that cannot find the ports, or log lines on stdout."""

    async def main() -> None:
        async with (
            node_fleet.Fleet().running() as fleet,
            fleet.nodes(1) as nodes,
            fleet.process("proc", *nodes) as process,
        ):
            assert process.line["name"] == "proc"
            for use in ("callers", "admin", "peers"):
                assert process.line[f"{use}_port"] > 0
            process.child.send_signal(signal.SIGTERM)
            out, err = await process.child.communicate()
            assert process.child.returncode == 0, err
            assert out == b"", "only one line belongs on standard output"
            for text in err.splitlines():
                assert json.loads(text)["node"] == "proc"

    asyncio.run(main())


def test_second_signal_reports_aborted_requests() -> None:
    """Guards against an abort that waits for requests or does not report them."""

    async def main() -> None:
        async with (
            node_fleet.Fleet().running() as fleet,
            fleet.nodes(1) as nodes,
            fleet.process("proc", *nodes) as process,
        ):
            request_id = identifiers.new_id()
            port = process.line["callers_port"]
            service = _service_owned_by(nodes, "proc")
            task = asyncio.create_task(
                fleet.request(nodes[0], service, "order", 20_000, request_id, port)
            )
            await _wait_until_running(fleet)
            process.child.send_signal(signal.SIGTERM)
            await fleet.wait_until(
                lambda: not _sees_as_owner(nodes[0], "proc", service)
            )
            process.child.send_signal(signal.SIGTERM)
            _, err = await process.child.communicate()
            assert process.child.returncode == 1
            lines = [json.loads(text) for text in err.splitlines()]
            assert any(
                line["level"] == "error" and request_id in line["message"]
                for line in lines
            )
            with pytest.raises(simple_httpclient.HTTPStreamClosedError):
                await task

    asyncio.run(main())


@pytest.mark.parametrize("is_killed", [True, False], ids=["killed", "frozen"])
def test_owner_that_dies_leaves_each_outcome_exact(is_killed: bool) -> None:
    """Guards against a repeated run or a false outcome when the owner fails.

    The outcome of a started request that is not repeatable is unknown. Later requests
    go to the new owner.
    """

    async def main() -> None:
        async with (
            node_fleet.Fleet().running() as fleet,
            fleet.nodes(2) as nodes,
            fleet.process("proc", nodes[0], nodes[1]) as process,
        ):
            service = _service_owned_by(nodes, "proc")
            started_id = identifiers.new_id()
            started = asyncio.create_task(
                fleet.request(nodes[0], service, "order", 1_500, started_id)
            )
            await _wait_until_running(fleet)
            process.child.send_signal(signal.SIGKILL if is_killed else signal.SIGSTOP)
            late_id = identifiers.new_id()
            late = await fleet.request(nodes[1], service, "order", 5, late_id)
            assert (await started).headers["X-Outcome"] == "unknown"
            await fleet.wait_until(
                lambda: not _sees_as_owner(nodes[1], "proc", service)
            )
            for kind in ("read", "order"):
                response = await fleet.request(nodes[1], service, kind)
                assert response.headers["X-Outcome"] == "answered", response.body
            if not is_killed:
                process.child.send_signal(signal.SIGCONT)
                await fleet.wait_until(
                    lambda: _sees_as_owner(nodes[1], "proc", service)
                )
                response = await fleet.request(nodes[1], service, "order")
                assert response.headers["X-Outcome"] == "answered", response.body
            runs: collections.Counter[str] = collections.Counter()
            for state in fleet.targets:
                runs += state.runs_by_request_id
            assert runs[started_id] == 1
            assert runs[late_id] <= (0 if late.headers["X-Outcome"] == "not-run" else 1)

    asyncio.run(main())


def test_superseded_node_stops_by_itself() -> None:
    """Guards against two nodes that append records under the same name."""

    async def main() -> None:
        async with node_fleet.Fleet().running() as fleet, fleet.nodes(2) as nodes:
            predecessor = nodes[1]
            async with fleet.node(predecessor.name, nodes[0]) as successor:
                assert await successor.wait_ready()
                await predecessor.wait_stop()
                await predecessor.stop()
                endpoint = f"127.0.0.1:{successor.ports['peers']}"
                await fleet.wait_until(
                    lambda: (
                        [p.member.endpoint for p in nodes[0].peers.members.peers()]
                        == [endpoint]
                    )
                )
                assert (await fleet.request(nodes[0], "service-0")).code == 200

    asyncio.run(main())


def test_conflict_names_the_winner() -> None:
    """Guards against a conflict that hides its winner, or promotes a wrong revision."""

    async def main() -> None:
        async with node_fleet.Fleet().running() as fleet, fleet.nodes(2) as nodes:
            replies = await asyncio.gather(
                fleet.publish(nodes[0], "trial", 0, "ada"),
                fleet.publish(nodes[1], "trial", 0, "bob"),
            )
            won, lost = sorted(replies, key=lambda reply: int(reply["code"]))
            assert won["code"] == codes.ResultCode.OK
            assert lost["name"] == "DOCUMENT_CONFLICT"
            assert lost["winner"] in ("ada", "bob")
            assert lost["winner_revision"] == won["revision"]
            trial_revision = won["revision"]
            production = nodes[0].follower.state.documents.revision_of("production")
            body = {"replaces": production, "author": "ada"}
            status, reply = await fleet.admin(
                nodes[1],
                "/v1/promotions",
                body | {"trial_revision": trial_revision + 1},
            )
            assert (status, reply["name"]) == (409, "DOCUMENT_NOT_ON_TRIAL")
            status, reply = await fleet.admin(
                nodes[1], "/v1/promotions", body | {"trial_revision": trial_revision}
            )
            assert status == 200
            assert sorted(reply["in_force_on"]) == ["n0", "n1"]

    asyncio.run(main())


def test_publication_names_the_nodes_that_it_did_not_reach() -> None:
    """Guards against a reply that leaves out a known node that is unresponsive."""

    async def main() -> None:
        async with (
            node_fleet.Fleet().running() as fleet,
            fleet.nodes(2) as nodes,
            fleet.process("proc", *nodes) as process,
        ):
            process.child.send_signal(signal.SIGSTOP)
            revision = nodes[0].follower.state.documents.revision_of("production")
            reply = await fleet.publish(nodes[0], "production", revision)
            assert reply["code"] == 0
            assert reply["in_force_on"] == ["n0", "n1"]
            assert reply["not_in_force_on"] + reply["not_reached"] == ["proc"]

    asyncio.run(main())


def test_reads_of_the_admin_port() -> None:
    """Guards against paths that fail on a running node or lack expected fields."""

    async def main() -> None:
        async with node_fleet.Fleet().running() as fleet, fleet.nodes(2) as nodes:
            request_id = identifiers.new_id()
            await fleet.request(nodes[0], "service-0", "read", request_id=request_id)
            status, reply = await fleet.admin(nodes[0], "/v1/status")
            assert status == 200
            assert [peer["name"] for peer in reply["peers"]] == ["n1"]
            assert [pool["available"] for pool in reply["pools"]] == [2] * 6
            assert {service["owner"] for service in reply["services"]} <= {"n0", "n1"}
            for path, subject in (
                ("/v1/hosts/h01", "host h01"),
                ("/v1/pools/p0", "pool p0"),
                (f"/v1/requests/{request_id}", f"request {request_id}"),
            ):
                status, reply = await fleet.admin(nodes[0], path)
                assert status == 200, reply
                assert reply["subject"].startswith(subject)
                assert {"state", "waits_for", "because", "code"} <= set(reply)
            for path in (
                "/v1/waves/p0",
                "/v1/plan?environment=trial",
                "/v1/documents/trial",
                "/v1/documents/production/history",
                "/livez",
                "/readyz",
            ):
                assert (await fleet.admin(nodes[0], path))[0] == 200

    asyncio.run(main())


@pytest.mark.parametrize(
    ("path", "body", "status", "name"),
    [
        ("/v1/nothing", None, 404, "REQUEST_INVALID"),
        ("/v1/hosts/h9", None, 404, "HOST_UNKNOWN"),
        ("/v1/pools/none", None, 404, "POOL_UNKNOWN"),
        ("/v1/waves/none", None, 404, "POOL_UNKNOWN"),
        ("/v1/requests/1-x", None, 404, "REQUEST_INVALID"),
        ("/v1/status?environment=x", None, 400, "REQUEST_INVALID"),
        ("/v1/documents/x", None, 400, "REQUEST_INVALID"),
        ("/v1/status", {}, 405, "REQUEST_INVALID"),
        ("/v1/documents/trial", [], 400, "REQUEST_INVALID"),
        ("/v1/documents/trial", {"author": "a"}, 400, "REQUEST_INVALID"),
        (
            "/v1/documents/trial",
            {"author": "a", "replaces": -1, "document": {}},
            400,
            "REQUEST_INVALID",
        ),
        (
            "/v1/documents/trial",
            {"author": "a", "replaces": 0, "document": {"user": 1}},
            400,
            "DOCUMENT_INVALID",
        ),
        (
            "/v1/documents/trial",
            {"author": "a", "replaces": 0, "document": "x" * 5_000_000},
            413,
            "REQUEST_TOO_LARGE",
        ),
    ],
)
def test_errors_of_the_admin_port(
    path: str, body: object, status: int, name: str
) -> None:
    """Guards against errors without the right HTTP status, code and message."""

    async def main() -> None:
        async with node_fleet.Fleet().running() as fleet, fleet.node("n0") as node:
            assert await node.wait_ready()
            got, reply = await fleet.admin(node, path, body)
            assert (got, reply["name"]) == (status, name)
            assert reply["code"] == codes.ResultCode[name]
            assert reply["message"]

    asyncio.run(main())
