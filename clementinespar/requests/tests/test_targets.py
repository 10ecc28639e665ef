"""Tests of which targets may receive new work."""

import dataclasses
from typing import Literal

from clementinespar.platform import service as platform_service
from clementinespar.requests import model, targets
from clementinespar.requests.tests import helpers


class _HostList:
    """`HostListSource` whose list is set by tests."""

    latest: platform_service.HostList | None
    age_s = 0.0

    def __init__(self) -> None:
        self.latest = platform_service.HostList(0, {})
        for number in range(3):
            self.set_condition(f"h{number}", "live")

    def set_condition(
        self, host_id: str, condition: Literal["live", "leaving"]
    ) -> None:
        assert self.latest is not None
        self.latest.hosts_by_id[host_id] = platform_service.ListedHost(
            host_id, "d1", "r0", "127.0.0.1", 1, condition
        )


class _Setup:
    def __init__(self) -> None:
        self.source = helpers.FakeSource(helpers.make_document(3))
        self.hosts_by_id = self.source.state.pools.hosts_by_id
        self.host_list = _HostList()
        self.directory = targets.FleetTargetDirectory(self.source, self.host_list)

    def host_ids(self) -> str:
        """Return the host ids of the targets, separated by spaces."""
        return " ".join(t.host_id for t in self.directory.targets_of("scale"))

    def target(self, number: int) -> model.Target:
        """Return one of the targets."""
        return self.directory.targets_of("scale")[number]


def test_each_source_excludes_a_host() -> None:
    """Guards against new work for a host that one source reports as unavailable."""
    setup = _Setup()
    assert setup.host_ids() == "h0 h1 h2"
    setup.hosts_by_id["h0"].failed_since_ms = 5
    assert setup.host_ids() == "h1 h2"
    setup.host_list.set_condition("h1", "leaving")
    assert setup.host_ids() == "h2"
    setup.directory.mark_leaving(setup.target(0))
    assert setup.host_ids() == ""
    assert setup.directory.targets_of("none") == ()
    setup.host_list.latest = None
    assert setup.host_ids() == ""


def test_leaving_mark_outlasts_a_lagging_list_and_ends_with_the_reboot() -> None:
    """Guards against work for a leaving host while the list still shows it as live."""
    setup = _Setup()
    setup.directory.mark_leaving(setup.target(0))
    assert setup.host_ids() == "h1 h2"  # the list lags and shows the host as live
    setup.host_list.set_condition("h0", "leaving")
    assert setup.host_ids() == "h1 h2"
    setup.host_list.set_condition("h0", "live")
    assert setup.host_ids() == "h0 h1 h2"
    # A reboot that only the fold shows.
    setup.directory.mark_leaving(setup.target(1))
    setup.hosts_by_id["h1"].revision = 9
    assert setup.host_ids() == "h0 h1 h2"
    setup.directory.mark_leaving(setup.target(2))
    setup.directory.clear_leaving(dataclasses.replace(setup.target(0), host_id="h2"))
    assert setup.host_ids() == "h0 h1 h2"
