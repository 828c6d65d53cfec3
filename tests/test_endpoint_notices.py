"""What holds of the time in which an endpoint wants no requests: a table of cases."""

import dataclasses

import pytest

from thorncleat_gateway.exceptions import EndpointClosedError
from thorncleat_gateway.ports import AnswerMeta
from thorncleat_gateway.requests.endpoint_notices import MAX_PAUSE_SECONDS
from thorncleat_gateway.requests.endpoint_notices import EndpointNotices
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import Life
from thorncleat_gateway.store.roster import Roster

ENDPOINT = Endpoint("i-1", "narrator", "10.0.0.1:1", "a", born=5)
DECLINED = AnswerMeta("r", signed=False, not_run=True, encoded=False)
SERVED = AnswerMeta("r", signed=True, not_run=False, encoded=False)


class View:
    def __init__(self):
        self.roster = Roster()
        self.roster.put(ENDPOINT)

    def said_draining(self, life: Life) -> None:
        self.roster.said_draining(life)


class Scene:
    def __init__(self):
        self.now = 100.0
        self.view = View()
        self.notices = EndpointNotices(self.view, lambda: self.now)

    def asks(self, seconds, endpoint=ENDPOINT):
        self.notices.record_answer(endpoint, dataclasses.replace(DECLINED, retry_after=seconds))

    def left(self, endpoint=ENDPOINT):
        return self.notices.pause_left(endpoint)


@pytest.fixture
def scene():
    return Scene()


def test_pause_lasts_as_long_as_was_asked(scene):
    scene.asks(3.0)
    scene.now += 2.9
    assert scene.left() == pytest.approx(0.1)
    with pytest.raises(EndpointClosedError, match="'i-1' wants no requests"):
        scene.notices.check(ENDPOINT)
    scene.now += 0.1
    assert scene.left() == 0.0
    scene.notices.check(ENDPOINT)


@pytest.mark.parametrize(
    ("second", "left"),
    [
        pytest.param(5.0, 5.0, id="longer"),
        pytest.param(0.5, 2.0, id="shorter: the first one still holds"),
        pytest.param(0.0, 2.0, id="none"),
        pytest.param(None, 2.0, id="no time"),
    ],
)
def test_second_answer(scene, second, left):
    scene.asks(3.0)
    scene.now += 1.0
    scene.asks(second)
    assert scene.left() == left


def test_good_answer_to_an_earlier_request_lifts_nothing(scene):
    scene.asks(3.0)
    scene.notices.record_answer(ENDPOINT, SERVED)
    assert scene.left() == 3.0


def test_time_in_another_unit_does_not_shut_an_endpoint_out_for_good(scene):
    scene.asks(1_800_000_000.0)
    assert scene.left() == MAX_PAUSE_SECONDS


def test_another_life_knows_nothing_of_it(scene):
    scene.asks(3.0)
    assert scene.left(dataclasses.replace(ENDPOINT, born=6)) == 0.0
    # an entry without a start is no proof of another life
    assert scene.left(dataclasses.replace(ENDPOINT, born=None)) == 3.0


def test_another_endpoint_at_the_address_is_not_meant(scene):
    scene.asks(3.0)
    assert scene.left(dataclasses.replace(ENDPOINT, id="i-2")) == 0.0


def test_pauses_that_are_over_are_forgotten(scene):
    for number in range(100):
        scene.asks(1.0, dataclasses.replace(ENDPOINT, id=f"i-{number}"))
        scene.now += 0.5
    assert len(scene.notices._pauses) <= 3


def test_request_chosen_before_the_word_is_not_sent_after_it(scene):
    scene.notices.record_answer(ENDPOINT, dataclasses.replace(SERVED, draining=True))
    with pytest.raises(EndpointClosedError, match="'i-1' is draining"):
        scene.notices.check(ENDPOINT)


@pytest.mark.parametrize(("speaks_for", "draining"), [(None, True), ("i-1", True), ("i-2", False)])
def test_answer_on_behalf_of_another_endpoint_says_nothing_of_this_one(scene, speaks_for, draining):
    meta = dataclasses.replace(DECLINED, draining=True, speaks_for=speaks_for)
    scene.notices.record_answer(ENDPOINT, meta)
    assert scene.view.roster.endpoints["i-1"].draining is draining
