"""Bytes of the datagrams between daemons, which other builds must be able to read."""

import msgpack
import pytest

from thorncleat_gateway.peers import message_codec as peers
from thorncleat_gateway.peers.messages import CrashReport
from thorncleat_gateway.peers.messages import CrashWithdrawal
from thorncleat_gateway.peers.messages import DomainLoad
from thorncleat_gateway.peers.messages import GroupEnded
from thorncleat_gateway.peers.messages import GroupKept
from thorncleat_gateway.peers.messages import LimitReport
from thorncleat_gateway.peers.messages import LoadReport
from thorncleat_gateway.peers.messages import OwedRetries
from thorncleat_gateway.peers.messages import Probe
from thorncleat_gateway.peers.messages import ProbeResult
from thorncleat_gateway.peers.messages import ReportedCrash
from thorncleat_gateway.peers.messages import ReportedLimit
from thorncleat_gateway.peers.messages import ReportedRequest
from thorncleat_gateway.peers.messages import RetryQuery
from thorncleat_gateway.peers.messages import RetryRecall
from thorncleat_gateway.peers.messages import RetryReport
from thorncleat_gateway.peers.messages import RetryUse
from thorncleat_gateway.peers.messages import Suspicion
from thorncleat_gateway.peers.messages import TunnelOffer
from thorncleat_gateway.peers.messages import TunnelQuery
from thorncleat_gateway.peers.messages import WorkspaceCounts
from thorncleat_gateway.peers.messages import WorkspaceLoad
from thorncleat_gateway.store.roster import GroupId

GROUP = GroupId(3, "narrator-0")
MESSAGES = {
    "load": LoadReport({"i-1": 3, "i-2": 1}, ["i-1", "i-3"]),
    "quiet": LoadReport({}, []),
    "suspicion": Suspicion("i-1", GROUP, "i-2"),
    "suspicion of nobody": Suspicion("i-1", GROUP),
    "probe": Probe("i-1"),
    "ended": GroupEnded(GROUP),
    "kept": GroupKept(GROUP, "i-1"),
    "probed": ProbeResult("i-1", False, True),
    "domain": DomainLoad("riga-a", {"i-1": 3}),
    "crash": CrashReport(
        [
            ReportedCrash("i-1", 7, 0.5, [ReportedRequest(b"\x01\xff", 2, 0.036)]),
            ReportedCrash("i-2", None, 3600.0, []),
        ]
    ),
    "no crash": CrashWithdrawal("i-1", 7, b"", 0.25),
    "request served": CrashWithdrawal("", None, b"\x01\xff", 0.0),
    "limits": LimitReport(
        [ReportedLimit("i-1", 7, 1.5, 0.75, 0.25), ReportedLimit("i-2", None, None, 2.0, 0.0)]
    ),
    "workspaces": WorkspaceLoad("", [WorkspaceCounts("narrator", "large", {"growers": 3, "": 1})]),
    "workspaces of a domain": WorkspaceLoad("riga-a", []),
    "retries": RetryReport(True, False, [RetryUse("narrator", [300, 2], [5, 0])]),
    "owed retries": RetryReport(
        True, False, [RetryUse("desk", [9], [1])], [OwedRetries("desk", "w1", 17, 2)]
    ),
    "recall of owed retries": RetryRecall(
        0.25, RetryReport(True, True, [], [OwedRetries("desk", "w1", None, 1)])
    ),
    "retry query": RetryQuery(),
    "no retries": RetryReport(True, True, []),
    "retry recall": RetryRecall(0.25, RetryReport(False, True, [RetryUse("desk", [1], [1])])),
    "tunnel query": TunnelQuery("narrator"),
    "tunnel offer": TunnelOffer("narrator", 7355, 256),
}
# Sent by daemon edge-1.
ENCODED = {
    "load": "9501a6656467652d31a46c6f616482a3692d3103a3692d320192a3692d31a3692d33",
    "quiet": "9501a6656467652d31a46c6f61648090",
    "suspicion": "9701a6656467652d31a773757370656374a3692d3103aa6e61727261746f722d30a3692d32",
    "suspicion of nobody": "9701a6656467652d31a773757370656374a3692d3103aa6e61727261746f722d30a0",
    "probe": "9401a6656467652d31a570726f6265a3692d31",
    "ended": "9501a6656467652d31a5656e64656403aa6e61727261746f722d30",
    "kept": "9601a6656467652d31a46b65707403aa6e61727261746f722d30a3692d31",
    "probed": "9601a6656467652d31a670726f626564a3692d31c2c3",
    "domain": "9501a6656467652d31a6646f6d61696ea6726967612d6181a3692d3103",
    "crash": (
        "9401a6656467652d31a563726173689294a3692d3107cd01f49193c40201ff022494a3692d32c0ce0036ee8090"
    ),
    "no crash": "9701a6656467652d31a86e6f206372617368a3692d3107c400ccfa",
    "request served": "9701a6656467652d31a86e6f206372617368a0c0c40201ff00",
    "limits": (
        "9401a6656467652d31a66c696d6974739295a3692d3107cb3ff800000000"
        "0000cd02eeccfa95a3692d32c0c0cd07d000"
    ),
    "workspaces": (
        "9501a6656467652d31aa776f726b737061636573a09193a86e61727261746f72a56c6172676582a767726f7765727303a001"
    ),
    "workspaces of a domain": "9501a6656467652d31aa776f726b737061636573a6726967612d6190",
    "retries": "9601a6656467652d31a772657472696573c3c29193a86e61727261746f7292cd012c02920500",
    "owed retries": (
        "9701a6656467652d31ac6f7765642072657472696573c3c29193a46465736b910991019194a46465"
        "736ba277311102"
    ),
    "recall of owed retries": (
        "9501a6656467652d31b3726563616c6c206f7765642072657472696573ccfa94c3c3909194a46465"
        "736ba27731c001"
    ),
    "retry query": "9301a6656467652d31ab61736b2072657472696573",
    "no retries": ("9601a6656467652d31a772657472696573c3c390"),
    "retry recall": (
        "9501a6656467652d31ae726563616c6c2072657472696573ccfa93c2c39193a46465736b91019101"
    ),
    "tunnel query": "9401a6656467652d31aa61736b2074756e6e656ca86e61727261746f72",
    "tunnel offer": "9601a6656467652d31ac6f666665722074756e6e656ca86e61727261746f72cd1cbbcd0100",
}


@pytest.mark.parametrize("name", MESSAGES)
def test_encoding_is_unchanged(name):
    assert peers.encode("edge-1", MESSAGES[name]).hex() == ENCODED[name]


@pytest.mark.parametrize("name", MESSAGES)
def test_decoding_is_unchanged(name):
    assert peers.decode(bytes.fromhex(ENCODED[name])) == ("edge-1", MESSAGES[name])


@pytest.mark.parametrize("name", MESSAGES)
def test_plain_form(name, snapshot):
    assert msgpack.unpackb(peers.encode("edge-1", MESSAGES[name])) == snapshot


@pytest.mark.parametrize(
    "content",
    [
        [],
        {},
        7,
        [2, "edge-1", "probe", "i-1"],
        [1, 7, "probe", "i-1"],
        [1, "edge-1", "probe"],
        [1, "edge-1", "probe", "i-1", "more"],
        [1, "edge-1", "unheard of", "i-1"],
        [1, "edge-1", "load", {"i-1": "x"}, []],
        [1, "edge-1", "domain", 7, {}],
        [1, "edge-1", "domain", "riga-a", []],
        [1, "edge-1", "suspect", "i-1", 3, "narrator-0"],
        [1, "edge-1", "ended", "3", "narrator-0"],
        [1, "edge-1", "kept", 3, "narrator-0"],
        [1, "edge-1", "owed retries", True, True, []],
        [1, "edge-1", "owed retries", True, True, [], [["desk", "w1", 17]]],
        [1, "edge-1", "owed retries", True, True, [], [["desk", "w1", -1, 2]]],
        [1, "edge-1", "owed retries", True, True, [], [["desk", "w1", 17, 1001]]],
        [1, "edge-1", "recall owed retries", 250, [True, True, []]],
        [1, "edge-1", "crash", {}],
        [1, "edge-1", "crash", [["i-1", 7, 500]]],
        [1, "edge-1", "crash", [["i-1", 7, "soon", []]]],
        [1, "edge-1", "crash", [["i-1", "7th", 500, []]]],
        [1, "edge-1", "crash", [["i-1", 7, 500, [["text", 2, 36]]]]],
        [1, "edge-1", "crash", [["i-1", 7, 500, [[b"\x01", None, 36]]]]],
        [1, "edge-1", "crash", [["i-1", 7, 500, 3]]],
        [1, "edge-1", "crash", [["i-1", 7, -500, []]]],
        [1, "edge-1", "crash", [7]],
        [1, "edge-1", "no crash", "i-1", 7, "text", 250],
        [1, "edge-1", "no crash", "i-1", 7, b"", -250],
        [1, "edge-1", "no crash", "i-1", [], b"", 250],
        [1, "edge-1", "limits", {}],
        [1, "edge-1", "limits", [7]],
        [1, "edge-1", "limits", [["i-1", 7, 1.5, 0]]],
        [1, "edge-1", "limits", [["i-1", 7, "many", 0, 0]]],
        [1, "edge-1", "limits", [["i-1", 7, -1.0, 0, 0]]],
        [1, "edge-1", "limits", [["i-1", 7, float("inf"), 0, 0]]],
        [1, "edge-1", "limits", [["i-1", 7, float("nan"), 0, 0]]],
        [1, "edge-1", "limits", [["i-1", 7, 1.5, -1, 0]]],
        [1, "edge-1", "limits", [["i-1", [], 1.5, 0, 0]]],
        [1, "edge-1", "retries", True, False],
        [1, "edge-1", "retries", True, False, [7]],
        [1, "edge-1", "retries", True, False, [["narrator", [1]]]],
        [1, "edge-1", "retries", True, False, [["narrator", [1], [-1]]]],
        [1, "edge-1", "retries", True, False, [["narrator", [1], ["many"]]]],
        [1, "edge-1", "ask retries", 7],
        [1, "edge-1", "recall retries", -1, [True, False, []]],
        [1, "edge-1", "recall retries", 0, [True, False]],
        [1, "edge-1", "recall retries", 0, []],
        [1, "edge-1", "workspaces", "", {}],
        [1, "edge-1", "workspaces", 7, []],
        [1, "edge-1", "workspaces", "", [["narrator", "large", []]]],
        [1, "edge-1", "workspaces", "", [["narrator", "large"]]],
        [1, "edge-1", "workspaces", "", [["narrator", "large", {"growers": -1}]]],
    ],
)
def test_malformed_content_is_rejected(content):
    assert peers.decode(msgpack.packb(content)) is None


@pytest.mark.parametrize("data", [b"", b"\xc1", b"GET / HTTP/1.1", b"\x94\x01"])
def test_malformed_bytes_are_rejected(data):
    assert peers.decode(data) is None
