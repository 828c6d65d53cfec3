"""Whether this daemon is ready, and whether it admits a caller's request.

Owns: nothing; every rule is a pure function.
Relies on: :mod:`..store.serving` for routes, keys and limits, and the age of the configuration as
:mod:`..store.view` proves it.
"""

import dataclasses
import enum

from ..store.serving import Route
from ..store.serving import ServingConfiguration
from ..store.serving import Workspace
from . import retry_after
from .refusal import Refusal

# Share of ``revoke_within`` during which the keys of a configuration are trusted; the rest covers
# running requests.
KEY_TRUST_FRACTION = 0.9


class NotReady(enum.Enum):
    """Why a daemon should get no requests; the value is sent to the load balancer."""

    STOPPING = "stopping"
    NO_CONFIGURATION = "no configuration yet"
    CONFIGURATION_TOO_OLD = "configuration too old"
    NO_WAY_TO_ENDPOINTS = "no way to endpoints"


STOPPING = Refusal(503, "stopping", retry_after.STOPPING_SECONDS)
NO_CONFIGURATION = Refusal(503, "no configuration yet", retry_after.CONFIGURATION_SECONDS)
NO_ROUTE = Refusal(404, "no route")
TOO_OLD_FOR_KEYS = Refusal(503, "configuration too old for keys", retry_after.CONFIGURATION_SECONDS)
UNKNOWN_KEY = Refusal(401, "unknown key")


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The configuration, the route and the workspace of an admitted request.

    :param workspace: the owner of the caller's key; None if no key is required.
    """

    configuration: ServingConfiguration
    route: Route
    workspace: Workspace | None


def is_current(age: float, revoke_within: float | None) -> bool:
    """Return whether a configuration is recent enough for its keys to be trusted.

    :param age: seconds for which a newer configuration may have been in force.
    :param revoke_within: seconds after which a revoked key must not work; None to trust keys at
        any age.
    """
    return revoke_within is None or age < revoke_within * KEY_TRUST_FRACTION


def why_not_ready(
    *, is_stopping: bool, is_loaded: bool, is_current: bool, has_way: bool = True
) -> NotReady | None:
    """Return why this daemon should get no requests, or None if it should.

    :param is_loaded: whether there is a configuration.
    :param is_current: whether its keys can be trusted.
    :param has_way: whether endpoints can be reached, directly or by way of another daemon.
    """
    if is_stopping:
        return NotReady.STOPPING
    if not is_loaded:
        return NotReady.NO_CONFIGURATION
    if not is_current:
        return NotReady.CONFIGURATION_TOO_OLD
    if not has_way:
        return NotReady.NO_WAY_TO_ENDPOINTS
    return None


def admit(
    configuration: ServingConfiguration | None,
    host: str,
    path: str,
    key: str | None,
    *,
    is_closed: bool,
    is_current: bool,
) -> Admitted | Refusal:
    """Decide whether a request is admitted, before its body is read.

    :param path: without the query.
    :param key: the key that the caller sent, or None.
    :param is_closed: whether this daemon accepts no more requests.
    :param is_current: whether the keys of the configuration can be trusted.
    """
    if is_closed:
        return STOPPING
    if configuration is None:
        return NO_CONFIGURATION
    route = configuration.route_for(host, path)
    if route is None:
        return NO_ROUTE
    if route.public or not configuration.workspaces:
        return Admitted(configuration, route, None)
    if not is_current:
        return TOO_OLD_FOR_KEYS
    workspace = configuration.workspace_for(key) if key else None
    if workspace is None:
        return UNKNOWN_KEY
    return Admitted(configuration, route, workspace)


def body_refusal(size: int, limit: int) -> Refusal | None:
    """Return the refusal of a body that is too large, or None.

    :param size: bytes received so far.
    :param limit: bytes that a body may have.
    """
    return Refusal(413, f"body over {limit} bytes") if size > limit else None
