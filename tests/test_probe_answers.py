"""What a daemon tells the controller that asks for an endpoint."""

import asyncio

import pytest

from thorncleat_gateway.peers.datagrams import LoadReport
from thorncleat_gateway.peers.datagrams import Probe
from thorncleat_gateway.peers.probe_answers import ProbeAnswers
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import Roster

KNOWN = Endpoint("w0", "narrator", "", "a")


class PeerChannel:
    def __init__(self):
        self.told = []

    def on_message(self, handler):
        self.receive = handler

    def send(self, daemon, message):
        self.told.append((daemon, message))


class LoadReporter:
    def __init__(self):
        self.reports = 0

    def build_report(self):
        self.reports += 1
        return LoadReport({"w0": self.reports}, [])


class StoreView:
    def __init__(self):
        self.roster = Roster()
        self.roster.put(KNOWN)


@pytest.mark.parametrize(
    ("asked", "answers", "told"),
    [
        pytest.param("w0", True, 2, id="it answers here: told again"),
        pytest.param("w0", False, 1, id="it doesn't"),
        pytest.param("w9", True, 1, id="nobody knows it"),
    ],
)
async def test_daemon_tells_at_once_what_it_has_under_way(asked, answers, told):
    peers = PeerChannel()

    async def endpoint_answers(_endpoint):
        return answers

    service = ProbeAnswers(StoreView(), peers, LoadReporter(), endpoint_answers)
    peers.receive("controller", Probe(asked))
    assert peers.told == [("controller", LoadReport({"w0": 1}, []))]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await service.stop()
    assert len(peers.told) == told
