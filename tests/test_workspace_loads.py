"""Running requests of workspaces, as daemons tell each other."""

import contextlib

import pytest

from thorncleat_gateway.peers.load_reporter import MAX_EMPTY_REPORTS
from thorncleat_gateway.peers.messages import WorkspaceCounts
from thorncleat_gateway.peers.messages import WorkspaceLoad
from thorncleat_gateway.peers.workspace_loads import WorkspaceLoads
from thorncleat_gateway.peers.workspace_loads import WorkspaceReporter


class Peers:
    """Delivers messages to the other daemons of its fleet at once."""

    def __init__(self, fleet, id, domain):
        self.fleet, self.id, self.domain = fleet, id, domain
        self.is_full_mesh, self.sent, self.handlers = False, 0, []
        fleet.append(self)

    @property
    def domain_peers(self):
        mates = {peer.id for peer in self.fleet if peer.domain == self.domain}
        return frozenset(mates - {self.id})

    def on_message(self, handler):
        self.handlers.append(handler)

    def broadcast(self, message, to=lambda peer: True):
        self.sent += 1
        for peer in self.fleet:
            if peer is not self and to(peer):
                for handler in peer.handlers:
                    handler(self.id, message)

    def broadcast_to_domain(self, message):
        self.broadcast(message, lambda peer: peer.domain == self.domain)

    def broadcast_to_other_domains(self, message):
        self.broadcast(message, lambda peer: peer.domain != self.domain)


class Fleet:
    def __init__(self, *domains, is_full_mesh=False):
        self.now, self.peers = 0.0, []
        self.running = contextlib.ExitStack()
        self.loads = [WorkspaceLoads(lambda: self.now) for _ in domains]
        self.reporters = []
        for number, (domain, loads) in enumerate(zip(domains, self.loads, strict=True)):
            peers = Peers(self.peers, f"e{number}", domain)
            peers.is_full_mesh = is_full_mesh
            self.reporters.append(WorkspaceReporter(loads, peers, domain))

    def begin(self, number, model="m"):
        self.running.enter_context(self.loads[number].track_request("s", model, "growers"))

    def send(self, times=1):
        for _ in range(times):
            for reporter in self.reporters:
                reporter.send()


@pytest.mark.parametrize("is_full_mesh", [True, False])
def test_all_daemons_know_the_requests_of_all(is_full_mesh):
    fleet = Fleet("z1", "z1", "z1", "z2", "z2", is_full_mesh=is_full_mesh)
    for number in range(5):
        for _ in range(number + 1):
            fleet.begin(number)
    fleet.begin(0, "other")
    # Totals of a failure domain follow the reports of its daemons.
    fleet.send(2)
    assert [loads.running("s", "m") for loads in fleet.loads] == [{"growers": 15}] * 5
    assert fleet.loads[4].running("s", "other") == {"growers": 1}


def test_requests_that_ended_and_daemons_that_are_silent_count_no_more():
    fleet = Fleet("z1", "z1")
    with fleet.loads[0].track_request("s", "m", "growers"):
        fleet.send(2)
        assert fleet.loads[1].running("s", "m") == {"growers": 1}
    fleet.send()
    assert fleet.loads[1].running("s", "m") == {}
    fleet.begin(0)
    fleet.send()
    fleet.now += 10.0
    fleet.reporters[1].send()
    assert fleet.loads[1].running("s", "m") == {}


def test_model_that_a_report_names_no_more_counts_no_more():
    loads = WorkspaceLoads(lambda: 0.0)
    loads.report("e1", [WorkspaceCounts("s", "m", {"growers": 2})])
    loads.report("e1", [WorkspaceCounts("s", "other", {"growers": 1})])
    assert (loads.running("s", "m"), loads.running("s", "other")) == ({}, {"growers": 1})


def test_idle_daemon_is_silent():
    """Guards against datagrams that earlier builds log without need."""
    fleet = Fleet("z1", "z1", "z2")
    fleet.send(20)
    assert max(peers.sent for peers in fleet.peers) <= 2 * MAX_EMPTY_REPORTS


def test_total_of_the_own_failure_domain_is_not_counted_twice():
    fleet = Fleet("z1", "z1")
    total = WorkspaceLoad("z1", [WorkspaceCounts("s", "m", {"growers": 2})])
    fleet.peers[0].broadcast(total)
    assert fleet.loads[1].running("s", "m") == {}
