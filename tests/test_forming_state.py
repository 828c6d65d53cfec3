"""Which endpoints may be ordered into a group, and how groups are numbered."""

import pytest

from thorncleat_gateway.groups.formation import GroupPlan
from thorncleat_gateway.groups.forming_state import DOMAIN_PAUSE_SECONDS
from thorncleat_gateway.groups.forming_state import EPOCHS_PER_TERM
from thorncleat_gateway.groups.forming_state import JOIN_REFUSAL_PAUSE_SECONDS
from thorncleat_gateway.groups.forming_state import FormingState
from thorncleat_gateway.groups.group_steps import ready_timeout
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.serving import EngineModel

MODEL = EngineModel("m", 2, load=16.0, warm=1.5)


def plan(*staged):
    members = tuple(
        Endpoint(f"w{n}", "s", "", "a", staged=models) for n, models in enumerate(staged)
    )
    return GroupPlan("d0", MODEL, members)


@pytest.fixture
def daemon():
    class Daemon:
        now = 100.0

    return Daemon()


@pytest.fixture
def state(daemon):
    return FormingState(7, lambda: daemon.now)


def test_groups_are_numbered_within_the_term(state):
    assert state.begin(plan()) == GroupId(7 * EPOCHS_PER_TERM + 1, "g700001")
    assert state.begin(plan()) == GroupId(7 * EPOCHS_PER_TERM + 2, "g700002")


def test_members_are_busy_until_the_group_is_formed_or_given_up(state):
    group = state.begin(plan((), ()))
    assert group in state
    assert [state.is_available(name) for name in ("w0", "w1", "w2")] == [False, False, True]
    state.finish(group)
    assert group not in state
    assert state.is_available("w0")


def test_endpoint_that_did_not_join_is_left_out_for_a_while(state, daemon):
    state.record_refusal("w0")
    daemon.now += JOIN_REFUSAL_PAUSE_SECONDS - 0.1
    assert not state.is_available("w0")
    daemon.now += 0.1
    assert state.is_available("w0")


def test_domain_is_paused_after_a_failure(state, daemon):
    state.pause("d0")
    assert state.is_paused("d0")
    assert not state.is_paused("d1")
    daemon.now += DOMAIN_PAUSE_SECONDS
    assert not state.is_paused("d0")


@pytest.mark.parametrize(
    ("group", "seconds"),
    [
        pytest.param(plan(("m",), ("m",)), 5 + 2 * 1.5, id="all hosts hold the model"),
        pytest.param(plan(("m",), ("x",)), 5 + 2 * 1.5 + 3 * 16, id="a host has to load it"),
    ],
)
def test_seconds_for_members_to_get_ready(group, seconds):
    assert ready_timeout(group, 5.0) == pytest.approx(seconds)
