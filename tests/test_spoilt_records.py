"""Malformed records under the gateway's keys in the store."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from thorncleat_gateway.groups.records import GROUPS_PREFIX
from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.store.registration import DAEMONS
from thorncleat_gateway.store.registration import Registration

from . import virtual_time
from .group_world import calm_world
from .group_world import controller_node
from .group_world import large_leader
from .wire_forms import OWN_SETTINGS

GOOD = msgpack.packb(["10.0.0.2", 7340, "a", 2])


class View:
    """A view that shows some records."""

    records_version = 1

    def __init__(self, values):
        self.records = {
            DAEMONS + name: RecordChanged(DAEMONS + name, value, 1)
            for name, value in values.items()
        }


def daemons(values):
    registration = Registration(OWN_SETTINGS, None, View(values), lambda: 0.0)
    return sorted(registration.daemons())


@pytest.mark.parametrize(
    "malformed",
    [
        b"\xc1",
        b"text",
        msgpack.packb({"host": "h"}),
        msgpack.packb(["10.0.0.3"]),
        msgpack.packb(["10.0.0.3", "7340", "a", 1.0]),
        msgpack.packb([3, 7340, "a", 1.0]),
    ],
)
def test_daemon_with_a_malformed_record_is_unknown_and_the_others_are_known(malformed):
    assert daemons({"edge-2": GOOD, "edge-3": malformed}) == ["edge-2"]


@given(st.binary(min_size=1))
def test_any_bytes_leave_the_others_known(malformed):
    assert "edge-2" in daemons({"edge-2": GOOD, "edge-3": malformed})


async def _corrupt_records():
    """Corrupt a group's record and write two that name no group; then lose a member."""
    world = await calm_world()
    for _ in range(4):
        world.add_worker("d0", staged=("large",))
    leader = large_leader(world)
    former = leader.group
    for key in (
        f"{GROUPS_PREFIX}{former.epoch}/{former.name}",
        f"{GROUPS_PREFIX}x/y",
        f"{GROUPS_PREFIX}7",
    ):
        revision = world.store.revision + 1
        world.store.put(key, RecordChanged(key, b"\xc1", revision, revision))
    await world.pass_time(4.0)
    is_kept, recorded = leader.group == former, controller_node(world).records.leader(former)
    world.kill(world.workers[leader.members[1]], unreachable=False)
    await world.pass_time(6.0)
    running = world.running_groups()
    await world.stop()
    return world, is_kept, recorded.id == leader.id, running


def test_control_continues_with_malformed_records_of_groups():
    world, is_kept, has_leader, running = virtual_time.run(_corrupt_records())
    assert world.broken == []
    assert is_kept
    assert has_leader
    assert running["large"] == 2
