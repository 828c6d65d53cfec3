"""What an answer of a restored store proves of the keys that were taken away before."""

import asyncio

import pytest

from thorncleat_gateway.ports import ConfigurationChanged
from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.store.acknowledged_age import AcknowledgedAge
from thorncleat_gateway.store.complete_era import COMPLETE_ERA_KEY
from thorncleat_gateway.store.complete_era import encode
from thorncleat_gateway.store.complete_era import recorded_era
from thorncleat_gateway.store.complete_era_writer import CompleteEraWriter
from thorncleat_gateway.store.freshness import ENTRY_REWRITE_SECONDS

from . import virtual_time
from .fleet_world import FleetWorld

REWRITE = ENTRY_REWRITE_SECONDS


def _known_until(seconds: float) -> AcknowledgedAge:
    """Return the age of a daemon that knew every change up to a time in era 1."""
    age = AcknowledgedAge()
    age.begin_era(1, seconds, is_complete=True)
    age.record_proof(seconds)
    return age


def test_answer_of_a_restored_store_does_not_renew_the_age():
    """A daemon that had missed a revocation called its configuration new after a restore."""
    age = _known_until(10.0)
    age.begin_era(2, 13.5, is_complete=False)
    age.record_proof(13.5)
    assert age.age(13.6) == pytest.approx(3.6)


def test_age_is_renewed_once_the_writers_had_time_to_write_again():
    age = _known_until(10.0)
    age.begin_era(2, 13.5, is_complete=False)
    age.record_proof(13.4 + REWRITE)
    assert age.age(20.0) == 10.0
    age.record_proof(13.5 + REWRITE)
    assert age.age(20.0) == pytest.approx(6.5 - REWRITE)


def test_age_is_renewed_once_the_operator_has_written_again():
    age = _known_until(10.0)
    age.begin_era(2, 13.5, is_complete=False)
    age.complete_era()
    age.record_proof(13.8)
    assert age.age(14.0) == pytest.approx(0.2)


def test_second_restore_starts_the_time_again():
    age = _known_until(10.0)
    age.begin_era(2, 13.5, is_complete=False)
    age.complete_era()
    age.record_proof(13.8)
    age.begin_era(3, 14.5, is_complete=False)
    age.record_proof(13.5 + REWRITE)
    assert age.age(16.0) == pytest.approx(2.2)


def test_answers_of_the_same_era_do_not_start_the_time_again():
    age = _known_until(10.0)
    age.begin_era(2, 13.5, is_complete=False)
    age.begin_era(2, 15.0, is_complete=False)
    age.record_proof(13.5 + REWRITE)
    assert age.age(16.0) == pytest.approx(2.5 - REWRITE)


def test_daemon_that_starts_from_a_copy_knows_nothing():
    age = AcknowledgedAge()
    age.begin_era(2, 5.0, is_complete=False)
    age.record_proof(5.0)
    assert age.age(5.0) == float("inf")
    assert not age.is_known


@pytest.mark.parametrize("value", [None, b"", b"\xc1", b"\x01", b"\x92\x02\x05"], ids=repr)
def test_unreadable_record_names_no_era(value):
    records = {COMPLETE_ERA_KEY: RecordChanged(COMPLETE_ERA_KEY, value, 1)}
    assert recorded_era(records) is None


def test_record_names_its_era():
    records = {COMPLETE_ERA_KEY: RecordChanged(COMPLETE_ERA_KEY, encode(7), 1)}
    assert recorded_era(records) == 7
    assert recorded_era({}) is None


FLEET_SIZE = 8
# How long the daemons could not read the store when it comes back.
OUTAGE_SECONDS = 3.4
# When the operator writes again after the restore.
OPERATOR_SECONDS = 0.4
# The oldest configuration whose keys are trusted.
TRUSTED_SECONDS = 2.7
STEP_SECONDS = 0.02


async def _restore_after_missed_changes(world: FleetWorld) -> None:
    """Restore the store from a copy that lacks what was written while no daemon could read it."""
    copy = world.store.copy()
    for daemon in world.daemons:
        daemon.cut = True
    await world.pass_time(OUTAGE_SECONDS)
    world.configure(20)
    for daemon in world.daemons:
        daemon.cut = False
    world.store.restore(copy)


async def _outdated_while_trusted(world: FleetWorld, seconds: float) -> set[str]:
    """Return the daemons that trust the keys of an outdated configuration meanwhile."""
    found = set()
    until = world.now() + seconds
    while world.now() < until:
        for daemon in world.daemons:
            is_trusted = daemon.runs and daemon.view.age() < TRUSTED_SECONDS
            if is_trusted and daemon.view.configuration_version() != world.configuration_version():
                found.add(daemon.id)
        await world.pass_time(STEP_SECONDS)
    return found


async def _keys_after_a_restore(*, restart: bool) -> tuple[set[str], float]:
    world = FleetWorld(FLEET_SIZE)
    await world.start()
    writer = await _start_writer(world)
    await world.pass_time(3.0)
    if restart:
        await asyncio.gather(*(daemon.kill() for daemon in world.daemons))
    await _restore_after_missed_changes(world)
    if restart:
        await asyncio.gather(*(daemon.start() for daemon in world.daemons))
    outdated = await _outdated_while_trusted(world, OPERATOR_SECONDS)
    world.rewrite_entries()
    await _outdated_while_trusted(world, 1.0)
    oldest = max(daemon.view.age() for daemon in world.daemons)
    await writer.stop()
    await world.stop()
    return outdated, oldest


async def _start_writer(world: FleetWorld) -> CompleteEraWriter:
    """Record the present era as a controller does."""
    daemon = world.daemons[0]
    writer = CompleteEraWriter(daemon.client, daemon.view, world.now, lambda: True)
    await writer.start()
    return writer


def test_running_daemons_do_not_trust_the_keys_of_a_copy():
    outdated, oldest = virtual_time.run(_keys_after_a_restore(restart=False))
    assert outdated == set()
    assert oldest < TRUSTED_SECONDS


def test_daemons_that_start_from_a_copy_do_not_trust_its_keys():
    """They have read nothing before, so only the record shows that the store was restored."""
    outdated, oldest = virtual_time.run(_keys_after_a_restore(restart=True))
    assert outdated == set()
    assert oldest < TRUSTED_SECONDS


async def _age_after_an_ordinary_start() -> float:
    world = FleetWorld(FLEET_SIZE)
    await world.start()
    writer = await _start_writer(world)
    await world.pass_time(3.0)
    await asyncio.gather(*(daemon.kill() for daemon in world.daemons))
    await asyncio.gather(*(daemon.start() for daemon in world.daemons))
    await world.pass_time(0.3)
    oldest = max(daemon.view.age() for daemon in world.daemons)
    await writer.stop()
    await world.stop()
    return oldest


def test_ordinary_start_of_all_daemons_waits_for_nothing():
    assert virtual_time.run(_age_after_an_ordinary_start()) < 1.0


async def _age_of_a_first_start() -> float:
    world = FleetWorld(FLEET_SIZE)
    await asyncio.gather(*(daemon.start() for daemon in world.daemons))
    await world.pass_time(0.3)
    oldest = max(daemon.view.age() for daemon in world.daemons)
    await world.stop()
    return oldest


def test_very_first_start_waits_for_nothing():
    """A store without the record was never restored while this build ran."""
    assert virtual_time.run(_age_of_a_first_start()) < 1.0


async def _records_of_random_restores(seed: int) -> list[str]:
    """Return the faults of a fleet whose store is restored repeatedly while keys are revoked."""
    world = FleetWorld(FLEET_SIZE, seed=seed)
    draw = world.random
    await world.start()
    writer = await _start_writer(world)
    await world.pass_time(3.0)
    faults: list[str] = []
    for version in range(10, 100, 10):
        copy = world.store.copy()
        is_cut = draw.random() < 0.5
        for daemon in world.daemons:
            daemon.cut = is_cut
        await world.pass_time(draw.uniform(0.0, 1.0))
        world.configure(version)
        await world.pass_time(draw.uniform(0.0, 4.0))
        world.store.down = True
        await world.pass_time(draw.choice((0.02, 0.3, 1.0)))
        world.store.down = False
        world.store.restore(copy)
        tasks = []
        if draw.random() < 0.4:
            tasks = await world.restart_all(longest=1.0)
        for daemon in world.daemons:
            daemon.cut = False
        seconds = draw.uniform(0.0, 1.0)
        # A key may be used for a while after it was revoked, as the daemons' age tells.
        faults += sorted(await _outdated_while_trusted_too_long(world, seconds))
        world.rewrite_entries()
        await asyncio.gather(*tasks)
        if draw.random() < 0.6:
            await world.pass_time(draw.uniform(0.0, 4.0))
    await writer.stop()
    await world.stop()
    return faults


async def _outdated_while_trusted_too_long(world: FleetWorld, seconds: float) -> set[str]:
    """Return the daemons that use a key longer than it is trusted after its revocation."""
    found = set()
    until = world.now() + seconds
    while world.now() < until:
        for daemon in world.daemons:
            is_trusted = daemon.runs and daemon.view.age() < TRUSTED_SECONDS
            is_outdated = daemon.view.configuration_version() != world.configuration_version()
            if is_trusted and is_outdated and world.now() - world.configured_at > TRUSTED_SECONDS:
                found.add(daemon.id)
        await world.pass_time(STEP_SECONDS)
    return found


@pytest.mark.parametrize("seed", range(6))
def test_revoked_keys_are_not_used_through_restores_at_random(seed):
    assert virtual_time.run(_records_of_random_restores(seed)) == []


def test_a_write_of_the_configuration_is_seen_by_daemons_behind_relays():
    """The age of all daemons is renewed as soon as the operator has written again."""

    async def play() -> float:
        world = FleetWorld(24)
        await world.start()
        copy = world.store.copy()
        world.configure(20)
        await world.pass_time(1.0)
        world.store.restore(copy)
        await world.pass_time(0.5)
        world.store.put("config", ConfigurationChanged(world.configuration.configuration))
        await world.pass_time(1.0)
        oldest = max(daemon.view.age() for daemon in world.daemons)
        await world.stop()
        return oldest

    assert virtual_time.run(play()) < 1.5
