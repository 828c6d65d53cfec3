"""The gateway's own records in the store, where another writer left something else."""

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
from .wire_forms import OWN

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
    registration = Registration(OWN, None, View(values), lambda: 0.0)
    return sorted(registration.daemons())


@pytest.mark.parametrize(
    "spoilt",
    [
        b"\xc1",
        b"text",
        msgpack.packb({"host": "h"}),
        msgpack.packb(["10.0.0.3"]),
        msgpack.packb(["10.0.0.3", "7340", "a", 1.0]),
        msgpack.packb([3, 7340, "a", 1.0]),
    ],
)
def test_daemon_whose_record_cannot_be_read_is_not_known_and_the_others_are(spoilt):
    assert daemons({"edge-2": GOOD, "edge-3": spoilt}) == ["edge-2"]


@given(st.binary(min_size=1))
def test_any_bytes_leave_the_others_known(spoilt):
    assert "edge-2" in daemons({"edge-2": GOOD, "edge-3": spoilt})


async def _records_are_spoilt():
    """Spoil a group's record and write two that name no group; then lose a member."""
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
    stays, kept = leader.group == former, controller_node(world).records.leader(former)
    world.kill(world.workers[leader.members[1]], unreachable=False)
    await world.pass_time(6.0)
    running = world.running_groups()
    await world.stop()
    return world, stays, kept.id == leader.id, running


def test_control_goes_on_though_records_of_groups_are_spoilt():
    world, stays, kept, running = virtual_time.run(_records_are_spoilt())
    assert world.broken == []
    assert stays
    assert kept
    assert running["large"] == 2
