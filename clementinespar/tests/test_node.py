"""Tests of whole nodes with the stand-ins."""

import asyncio

from clementinespar.tests import fleet


def test_requests_reach_targets_through_any_node() -> None:
    # Guards against requests that only work when their ingress owns the queue.
    async def main() -> None:
        async with fleet.Fleet().running() as f, f.nodes(3) as nodes:
            owners = set()
            for i in range(6):
                owners.add(nodes[0].peers.candidates(f"service-{i}")[0].node)
                for node in nodes:
                    for kind in ("read", "order"):
                        response = await f.request(node, f"service-{i}", kind)
                        assert response.code == 200, response.body
                        assert response.headers["X-Outcome"] == "answered"
            assert len(owners) > 1, "one node owns all; nothing was forwarded"

    asyncio.run(main())
