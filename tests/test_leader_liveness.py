"""Whether a leader that never reported that it left is dead."""

import pytest

from thorncleat_gateway.groups import leader_liveness
from thorncleat_gateway.groups.leader_liveness import MAX_LIST_AGE_SECONDS
from thorncleat_gateway.store.roster import Endpoint


@pytest.mark.parametrize(
    ("listed", "list_age", "unlisted"),
    [
        pytest.param(False, 0.1, True, id="a recent list lacks it"),
        pytest.param(True, 0.1, False, id="listed"),
        pytest.param(False, MAX_LIST_AGE_SECONDS, False, id="an old list proves nothing"),
        pytest.param(False, float("inf"), False, id="nor does one that was never read"),
    ],
)
def test_unlisted(listed, list_age, unlisted):
    assert leader_liveness.is_unlisted(listed, list_age) is unlisted


@pytest.mark.parametrize(
    ("requests", "silent_daemons", "idle"),
    [
        pytest.param(0, set(), True, id="all daemons report no requests there"),
        pytest.param(1, set(), False, id="one is under way"),
        pytest.param(0, {"b"}, False, id="a silent daemon may have some"),
    ],
)
def test_idle(requests, silent_daemons, idle):
    found = leader_liveness.is_idle(requests=requests, silent_daemons=silent_daemons)
    assert found is idle


@pytest.mark.parametrize(
    ("draining", "list_age", "leaving"),
    [
        pytest.param(False, 0.1, False, id="a recent list shows that it isn't"),
        pytest.param(True, 0.1, True, id="it reports draining"),
        pytest.param(None, 0.1, True, id="it may leave unannounced: the entry is removed"),
        pytest.param(False, MAX_LIST_AGE_SECONDS, True, id="an old list may not show it"),
    ],
)
def test_possibly_leaving(draining, list_age, leaving):
    entry = None if draining is None else Endpoint("w0", "narrator", "", "a", draining=draining)
    assert leader_liveness.is_possibly_leaving(entry, list_age) is leaving


@pytest.mark.parametrize(
    ("listed", "contacted", "dead"),
    [
        pytest.param(False, False, True, id="neither listed nor contacted"),
        pytest.param(True, False, False, id="listed again"),
        pytest.param(False, True, False, id="answered another daemon"),
    ],
)
def test_dead(listed, contacted, dead):
    assert leader_liveness.is_dead(listed=listed, has_contact=contacted) is dead
