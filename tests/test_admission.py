"""Whether a daemon is ready, and whether a request is admitted: tables of cases."""

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


# Configuration, path, key, is closed, is current.
@pytest.mark.parametrize(
    ("configuration", "path", "key", "is_closed", "is_current", "outcome"),
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
def test_admission_of_a_request(configuration, path, key, is_closed, is_current, outcome):
    found = admission.admit(
        configuration, "shop", path, key, is_closed=is_closed, is_current=is_current
    )
    assert found == outcome


@pytest.mark.parametrize(
    ("age", "revoke_within", "is_current"),
    [
        pytest.param(0.0, 2.0, True, id="new"),
        pytest.param(1.79, 2.0, True, id="below 0.9 of the bound"),
        pytest.param(1.8, 2.0, False, id="0.9 of the bound"),
        pytest.param(1e9, None, True, id="no bound: serve on"),
    ],
)
def test_age_at_which_keys_are_trusted(age, revoke_within, is_current):
    assert admission.is_current(age, revoke_within) is is_current


@pytest.mark.parametrize(
    ("is_stopping", "is_loaded", "is_current", "reason"),
    [
        pytest.param(False, True, True, None, id="ready"),
        pytest.param(False, True, False, NotReady.CONFIGURATION_TOO_OLD, id="too old"),
        pytest.param(False, False, False, NotReady.NO_CONFIGURATION, id="no configuration"),
        pytest.param(True, False, False, NotReady.STOPPING, id="stopping comes first"),
    ],
)
def test_readiness(is_stopping, is_loaded, is_current, reason):
    assert (
        admission.why_not_ready(is_stopping=is_stopping, is_loaded=is_loaded, is_current=is_current)
        is reason
    )


def test_reasons_for_the_load_balancer():
    reasons = {reason.name: reason.value for reason in NotReady}
    assert reasons == {
        "STOPPING": "stopping",
        "NO_CONFIGURATION": "no configuration yet",
        "CONFIGURATION_TOO_OLD": "configuration too old",
        "NO_WAY_TO_ENDPOINTS": "no way to endpoints",
    }


@pytest.mark.parametrize(
    ("size", "refusal"),
    [
        pytest.param(0, None, id="empty"),
        pytest.param(1000, None, id="at the limit"),
        pytest.param(1001, Refusal(413, "body over 1000 bytes", None), id="over the limit"),
    ],
)
def test_size_of_a_body(size, refusal):
    assert admission.body_refusal(size, 1000) == refusal


def test_refusal_becomes_an_error_with_its_fields():
    error = TOO_OLD.error()
    assert type(error) is RefusalError
    assert (error.status, error.cause, error.retry_after) == (503, TOO_OLD.cause, 0.5)
