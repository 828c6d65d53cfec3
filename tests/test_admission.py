"""Whether a daemon is ready, and whether a caller is let in: one line for each case."""

import pytest

from thorncleat_gateway.exceptions import RefusalError
from thorncleat_gateway.requests import admission
from thorncleat_gateway.requests.admission import Admitted
from thorncleat_gateway.requests.admission import NotReady
from thorncleat_gateway.requests.refusal import Refusal
from thorncleat_gateway.store.serving import Route
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.serving import Split
from thorncleat_gateway.store.serving import Workspace


def route(name, prefix, public=False):
    return Route(
        name, "shop", prefix, RouteKind.ONCE, 1.0, 0.5, 0.3, 1, (Split("s", 1.0),), 1, public
    )


CLOSED, OPEN = route("closed", "/closed/"), route("open", "/open/", public=True)
GROWERS = Workspace("growers", ("key",))
CONFIGURATION = ServingConfiguration(1, (CLOSED, OPEN), workspaces=(GROWERS,))
WITHOUT_KEYS = ServingConfiguration(1, (CLOSED, OPEN))

STOPPING = Refusal(503, "stopping", 0.05)
NO_CONFIGURATION = Refusal(503, "no configuration yet", 0.5)
NO_ROUTE = Refusal(404, "no route", None)
TOO_OLD = Refusal(503, "configuration too old for keys", 0.5)
UNKNOWN_KEY = Refusal(401, "unknown key", None)
GROWERS_IN = Admitted(CONFIGURATION, CLOSED, GROWERS)


# configuration, path, key, closed, fresh
@pytest.mark.parametrize(
    ("configuration", "path", "key", "closed", "fresh", "outcome"),
    [
        pytest.param(CONFIGURATION, "/closed/x", "key", False, True, GROWERS_IN, id="known key"),
        pytest.param(CONFIGURATION, "/closed/x", "no", False, True, UNKNOWN_KEY, id="unknown key"),
        pytest.param(CONFIGURATION, "/closed/x", None, False, True, UNKNOWN_KEY, id="no key"),
        pytest.param(CONFIGURATION, "/closed/x", "", False, True, UNKNOWN_KEY, id="empty key"),
        pytest.param(CONFIGURATION, "/closed/x", "key", False, False, TOO_OLD, id="too old"),
        pytest.param(
            CONFIGURATION, "/closed/x", "no", False, False, TOO_OLD, id="too old, unknown key"
        ),
        pytest.param(
            CONFIGURATION,
            "/open/x",
            None,
            False,
            False,
            Admitted(CONFIGURATION, OPEN, None),
            id="public route, however old",
        ),
        pytest.param(
            CONFIGURATION,
            "/open/x",
            "key",
            False,
            True,
            Admitted(CONFIGURATION, OPEN, None),
            id="public route, key not looked at",
        ),
        pytest.param(
            WITHOUT_KEYS,
            "/closed/x",
            None,
            False,
            False,
            Admitted(WITHOUT_KEYS, CLOSED, None),
            id="no workspaces: no key asked for",
        ),
        pytest.param(CONFIGURATION, "/x/", "key", False, True, NO_ROUTE, id="no route"),
        pytest.param(CONFIGURATION, "/x/", None, False, False, NO_ROUTE, id="no route, too old"),
        pytest.param(
            None, "/closed/x", "key", False, False, NO_CONFIGURATION, id="no configuration"
        ),
        pytest.param(CONFIGURATION, "/closed/x", "key", True, True, STOPPING, id="stopping"),
        pytest.param(None, "/closed/x", "key", True, False, STOPPING, id="stopping comes first"),
    ],
)
def test_caller_is_let_in(configuration, path, key, closed, fresh, outcome):
    found = admission.admit(configuration, "shop", path, key, is_closed=closed, is_current=fresh)
    assert found == outcome


@pytest.mark.parametrize(
    ("age", "revoke_within", "fresh"),
    [
        pytest.param(0.0, 2.0, True, id="new"),
        pytest.param(1.79, 2.0, True, id="below 0.9 of the bound"),
        pytest.param(1.8, 2.0, False, id="0.9 of the bound"),
        pytest.param(1e9, None, True, id="no bound: serve on"),
    ],
)
def test_configuration_is_fresh_enough_for_keys(age, revoke_within, fresh):
    assert admission.is_current(age, revoke_within) is fresh


@pytest.mark.parametrize(
    ("stopping", "loaded", "fresh", "reason"),
    [
        pytest.param(False, True, True, None, id="ready"),
        pytest.param(False, True, False, NotReady.CONFIGURATION_TOO_OLD, id="too old"),
        pytest.param(False, False, False, NotReady.NO_CONFIGURATION, id="no configuration"),
        pytest.param(True, False, False, NotReady.STOPPING, id="stopping comes first"),
    ],
)
def test_daemon_is_ready(stopping, loaded, fresh, reason):
    assert (
        admission.why_not_ready(is_stopping=stopping, is_loaded=loaded, is_current=fresh) is reason
    )


def test_balancer_is_told_these_words():
    told = {reason.name: reason.value for reason in NotReady}
    assert told == {
        "STOPPING": "stopping",
        "NO_CONFIGURATION": "no configuration yet",
        "CONFIGURATION_TOO_OLD": "configuration too old",
    }


@pytest.mark.parametrize(
    ("size", "refusal"),
    [
        pytest.param(0, None, id="empty"),
        pytest.param(1000, None, id="at the limit"),
        pytest.param(1001, Refusal(413, "body over 1000 bytes", None), id="over the limit"),
    ],
)
def test_body_is_taken(size, refusal):
    assert admission.body_refusal(size, 1000) == refusal


def test_refusal_ends_the_request_with_what_it_says():
    error = TOO_OLD.error()
    assert type(error) is RefusalError
    assert (error.status, error.cause, error.retry_after) == (503, TOO_OLD.cause, 0.5)
