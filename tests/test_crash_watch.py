"""What this daemon's attempts say of crashes, with the parts around it played."""

import dataclasses

import pytest

from thorncleat_gateway.exceptions import AttemptError
from thorncleat_gateway.exceptions import Broken
from thorncleat_gateway.exceptions import Ran
from thorncleat_gateway.peers.datagrams import GroupEnded
from thorncleat_gateway.requests.endpoint_client import EndpointAnswer
from thorncleat_gateway.requests.quarantine import QUARANTINE_CRASHES
from thorncleat_gateway.requests.quarantine import RAN_POINTS
from thorncleat_gateway.requests.quarantine import Involvement
from thorncleat_gateway.store.roster import Life

from . import virtual_time
from .crash_world import CrashWorld
from .crash_world import Size

SIZE = Size(2, 3, 4, 1.0)
CUT = AttemptError("answer cut: X", Ran.MAYBE, broken=Broken.AFTER_HEAD)


class Scene:
    """A daemon with a request under way at an endpoint."""

    def __init__(self):
        self.world = CrashWorld(SIZE, 1)

    async def __aenter__(self):
        await self.world.begin()
        self.daemon = self.world.daemons[0]
        self.watch = self.daemon.watch
        self.worker = next(iter(self.world.workers.values()))
        self.endpoint = self.worker.endpoint
        self.request = self.world.request(b"body")
        self.request.sent_at = self.request.head_at = self.world.now()
        return self

    async def __aexit__(self, *error):
        await self.world.end()

    def fails(self, failure=CUT):
        self.watch.record_failure(self.request, self.endpoint, failure)
        return self.daemon.quarantine.is_suspect(self.request.fingerprint)


def play(scene):
    async def whole():
        async with Scene() as made:
            return scene(made)

    return virtual_time.run(whole())


def test_broken_attempt_is_noted():
    assert play(lambda scene: scene.fails())


def test_attempt_that_did_not_break_is_not():
    assert not play(lambda scene: scene.fails(AttemptError("group silent", Ran.MAYBE)))


def test_endpoint_that_leaves_is_no_crash():
    def leaving(scene):
        scene.world.view.roster.put(dataclasses.replace(scene.endpoint, draining=True))
        return scene.fails()

    assert not play(leaving)


def test_endpoint_that_is_not_listed_is_no_crash():
    def unlisted(scene):
        scene.world.unlist(scene.worker)
        return scene.fails()

    assert not play(unlisted)


def test_group_that_stood_still_is_no_crash():
    def still(scene):
        scene.request.sent_at -= 5.0
        return scene.fails()

    assert not play(still)


def test_group_that_is_ended_at_once_for_its_leaders_crash_is_one():
    """A daemon whose loop is late reads the controller's word before it sees its streams break.

    The controller asks a suspected leader and ends its group some 8 ms after the crash.
    """

    def ended(scene):
        group = scene.endpoint.membership.group
        for handler in scene.daemon.peers.handlers:
            handler("edge-1", GroupEnded(group))
        assert group in scene.daemon.ended
        return scene.fails()

    assert play(ended)


@pytest.mark.parametrize("after", [-0.5, 0.5])
def test_endpoint_that_answers_a_later_request_has_not_crashed(after):
    def answers(scene):
        scene.fails()
        scene.watch.record_answer_started(scene.endpoint, scene.world.now() + after)
        return scene.daemon.quarantine.has_crashed(scene.endpoint.life)

    assert play(answers) is (after < 0)


async def _held_after_a_failure_status():
    """Return what a caller gets whose request is held while an endpoint answers it with 500."""
    world = CrashWorld(dataclasses.replace(SIZE, plain=True), 1)
    await world.begin()
    daemon, request = world.daemons[0], world.request(b"body")
    failed = EndpointAnswer(500, (), b"failed")

    async def fails(_request, _endpoint):
        for number in range(QUARANTINE_CRASHES):
            told = {request.fingerprint: Involvement(RAN_POINTS, 0.0)}
            daemon.quarantine.record_crash(Life(f"other-{number}", None), 900.0 + number, told)
        return failed

    daemon.plain._attempt = fails
    answer = await daemon.plain.serve(request)
    await world.end()
    return answer is failed


def test_answer_that_an_endpoint_gave_is_passed_on_though_the_request_is_held():
    assert virtual_time.run(_held_after_a_failure_status())
