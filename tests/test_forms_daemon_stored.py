"""The values that ``thorncleatd`` stores keep their encoded form."""

import msgpack
import pytest

from thorncleat_core.daemon.claims import Claim
from thorncleat_core.daemon.claims import ClaimState
from thorncleat_core.daemon.claims import Outcome
from thorncleat_core.daemon.claims import decode_batch
from thorncleat_core.daemon.claims import encode_batch
from thorncleat_core.daemon.claims import request_digest
from thorncleat_core.daemon.configuration import Change
from thorncleat_core.daemon.groups import Assignments
from thorncleat_core.daemon.groups import Group
from thorncleat_core.daemon.journal import Entry
from thorncleat_core.daemon.journal import Head
from thorncleat_core.daemon.journal import Placement
from thorncleat_core.daemon.journal import State
from thorncleat_core.exceptions import DecodeError
from thorncleat_daemon.keyspace import Keyspace

from . import wire_forms

DIGEST = "0" * 64
CHANGE = Change.model_validate(
    {
        "workspaces": [{"name": "growers", "key_digests": [DIGEST], "share": 2.0}],
        "operators": [{"name": "ops", "key_digest": DIGEST, "rights": "change"}],
        "services": [
            {
                "name": "telemetry",
                "endpoints": ["10.0.0.3:83"],
                "workspaces": ["growers"],
                "not_repeatable": ["POST /alarms"],
            }
        ],
        "intents": [
            {
                "name": "narrator",
                "model": "m",
                "version": "v1",
                "workspaces": ["growers"],
                "replicas": 2,
                "instances_per_replica": 4,
                "spares": 1,
                "failure_domains": ["z1"],
            }
        ],
        "draining": ["i-9"],
    }
)
MEMBERS = ("i-1", "i-2", "i-3", "i-4")
PLACED = Placement("narrator-0", "narrator", "fabric-0", MEMBERS, 1)
ENTRY = Entry(1, "", "plan", "ops", CHANGE, (PLACED,), ("old-0",))
GROUP = Group("narrator-0", "narrator", "m", "v1", 6, MEMBERS)
CLAIMS = [
    Claim("growers", "note-1", "d1", ClaimState.RUNNING, 1000, None, "a1"),
    Claim("growers", "note-2", "d2", ClaimState.DONE, 2000, Outcome(200, "a/b", b"\xff"), "a2"),
    Claim("growers", "note-3", "d3", ClaimState.UNKNOWN, 3000),
]
VALUES = {
    "head": (Head(7, "d"), Head.encode, Head.decode),
    "entry": (ENTRY, Entry.encode, Entry.decode),
    "snapshot": (State().with_entry(ENTRY), State.encode, State.decode),
    "assignments": (
        Assignments("fabric-0", {"narrator-0": GROUP}, {"i-9": "old-0"}, 6),
        Assignments.encode,
        Assignments.decode,
    ),
    "claims": (CLAIMS, encode_batch, decode_batch),
}
# Encoded values that earlier versions have stored.
WRITTEN = {
    "head": ("82a17601a16482a87265766973696f6e07a6646967657374a164"),
    "entry": (
        "82a17601a16487a87265766973696f6e01a870726576696f7573a0a4706c616ea4706c616ea86f70"
        "657261746f72a36f7073a66368616e676586aa776f726b7370616365739185a46e616d65a767726f"
        "77657273ab6b65795f6469676573747391d940303030303030303030303030303030303030303030"
        "30303030303030303030303030303030303030303030303030303030303030303030303030303030"
        "303030a57368617265cb4000000000000000ac617661696c6162696c697479cb3feff7ced916872b"
        "b366697273745f746f6b656e5f7365636f6e6473cb3ff4cccccccccccda96f70657261746f727391"
        "83a46e616d65a36f7073aa6b65795f646967657374d9403030303030303030303030303030303030"
        "30303030303030303030303030303030303030303030303030303030303030303030303030303030"
        "30303030303030a6726967687473a66368616e6765a873657276696365739184a46e616d65a97465"
        "6c656d65747279a9656e64706f696e747391ab31302e302e302e333a3833aa776f726b7370616365"
        "7391a767726f77657273ae6e6f745f72657065617461626c6591ac504f5354202f616c61726d73a7"
        "696e74656e74739188a46e616d65a86e61727261746f72a56d6f64656ca16da776657273696f6ea2"
        "7631aa776f726b73706163657391a767726f77657273a87265706c6963617302b5696e7374616e63"
        "65735f7065725f7265706c69636104a673706172657301af6661696c7572655f646f6d61696e7391"
        "a27a31a8647261696e696e6791a3692d39a672656d6f766585aa776f726b73706163657390a96f70"
        "657261746f727390a8736572766963657390a7696e74656e747390a8647261696e696e6790a77374"
        "61727465649185a567726f7570aa6e61727261746f722d30a6696e74656e74a86e61727261746f72"
        "a6646f6d61696ea86661627269632d30a76d656d6265727394a3692d31a3692d32a3692d33a3692d"
        "34a87265766973696f6e01a773746f7070656491a56f6c642d30"
    ),
    "snapshot": (
        "82a17601a16487a46865616482a87265766973696f6e01a6646967657374d9406166623830323363"
        "39646339616264643437346231626561323566623835663839343661343238613736353239306238"
        "33653064313462633164336131363861aa776f726b7370616365739185a46e616d65a767726f7765"
        "7273ab6b65795f6469676573747391d9403030303030303030303030303030303030303030303030"
        "30303030303030303030303030303030303030303030303030303030303030303030303030303030"
        "30a57368617265cb4000000000000000ac617661696c6162696c697479cb3feff7ced916872bb366"
        "697273745f746f6b656e5f7365636f6e6473cb3ff4cccccccccccda96f70657261746f72739183a4"
        "6e616d65a36f7073aa6b65795f646967657374d94030303030303030303030303030303030303030"
        "30303030303030303030303030303030303030303030303030303030303030303030303030303030"
        "3030303030a6726967687473a66368616e6765a873657276696365739184a46e616d65a974656c65"
        "6d65747279a9656e64706f696e747391ab31302e302e302e333a3833aa776f726b73706163657391"
        "a767726f77657273ae6e6f745f72657065617461626c6591ac504f5354202f616c61726d73a7696e"
        "74656e74739188a46e616d65a86e61727261746f72a56d6f64656ca16da776657273696f6ea27631"
        "aa776f726b73706163657391a767726f77657273a87265706c6963617302b5696e7374616e636573"
        "5f7065725f7265706c69636104a673706172657301af6661696c7572655f646f6d61696e7391a27a"
        "31a8647261696e696e6791a3692d39aa706c6163656d656e74739185a567726f7570aa6e61727261"
        "746f722d30a6696e74656e74a86e61727261746f72a6646f6d61696ea86661627269632d30a76d65"
        "6d6265727394a3692d31a3692d32a3692d33a3692d34a87265766973696f6e01"
    ),
    "assignments": (
        "82a17601a16484a6646f6d61696ea86661627269632d30a667726f75707381aa6e61727261746f72"
        "2d3086a26964aa6e61727261746f722d30a6696e74656e74a86e61727261746f72a56d6f64656ca1"
        "6da776657273696f6ea27631aa67656e65726174696f6e06a76d656d6265727394a3692d31a3692d"
        "32a3692d33a3692d34a76c656176696e6781a3692d39a56f6c642d30aa67656e65726174696f6e06"
    ),
    "claims": (
        "82a17601a1649387a9776f726b7370616365a767726f77657273a36b6579a66e6f74652d31a77265"
        "7175657374a26431a57374617465a772756e6e696e67a5756e74696ccd03e8a76f7574636f6d65c0"
        "a7617474656d7074a2613187a9776f726b7370616365a767726f77657273a36b6579a66e6f74652d"
        "32a772657175657374a26432a57374617465a4646f6e65a5756e74696ccd07d0a76f7574636f6d65"
        "83a6737461747573ccc8ac636f6e74656e745f74797065a3612f62a4626f6479c401ffa761747465"
        "6d7074a2613287a9776f726b7370616365a767726f77657273a36b6579a66e6f74652d33a7726571"
        "75657374a26433a57374617465a7756e6b6e6f776ea5756e74696ccd0bb8a76f7574636f6d65c0a7"
        "617474656d7074a0"
    ),
}


@pytest.mark.parametrize("name", VALUES)
def test_written_as_before(name, snapshot):
    value, encode, _ = VALUES[name]
    assert encode(value).hex() == WRITTEN[name]
    assert wire_forms.plain(msgpack.unpackb(encode(value))) == snapshot


@pytest.mark.parametrize("name", VALUES)
def test_read_as_before(name):
    value, _, decode = VALUES[name]
    assert decode(bytes.fromhex(WRITTEN[name])) == value


@pytest.mark.parametrize("name", VALUES)
@pytest.mark.parametrize("data", [b"", b"\xc1", msgpack.packb({"v": 2, "d": {}})])
def test_invalid_data_is_rejected(name, data):
    with pytest.raises(DecodeError):
        VALUES[name][2](data)


def test_digests(snapshot):
    found = [ENTRY.digest, request_digest("POST", "/a?b", b"body")]
    assert found == snapshot


def test_keys(snapshot):
    keys = Keyspace("c")
    found = [
        keys.head,
        keys.snapshot,
        keys.entries,
        keys.entry(12),
        keys.shard(3),
        keys.holder(3),
        keys.epoch(3),
        keys.domain("fabric-0"),
        keys.claims(3),
        keys.claim_batch(3, 4, 5, 6),
    ]
    assert found == snapshot
