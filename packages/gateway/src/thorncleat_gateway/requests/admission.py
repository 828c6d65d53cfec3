"""Whether this daemon is ready, and whether it lets a caller's request in.

Owns: nothing; every rule is a pure function.
Relies on: :mod:`..store.serving` for routes, keys and limits, and on the age of the
configuration as :mod:`..store.view` proves it.
"""

import dataclasses
import enum

from ..store.serving import Route
from ..store.serving import ServingConfiguration
from ..store.serving import Workspace
from . import retry_after
from .refusal import Refusal

# part of the deployment's bound for taking a key away, for which the configuration counts as
# new enough for keys; the rest covers requests under way
KEY_TRUST_FRACTION = 0.9


class NotReady(enum.Enum):
    """Why a daemon should get no requests; the value is what the balancer is told."""

    STOPPING = "stopping"
    NO_CONFIGURATION = "no configuration yet"
    CONFIGURATION_TOO_OLD = "configuration too old"


STOPPING = Refusal(503, "stopping", retry_after.STOPPING_SECONDS)
NO_CONFIGURATION = Refusal(503, "no configuration yet", retry_after.CONFIGURATION_SECONDS)
NO_ROUTE = Refusal(404, "no route")
TOO_OLD_FOR_KEYS = Refusal(503, "configuration too old for keys", retry_after.CONFIGURATION_SECONDS)
UNKNOWN_KEY = Refusal(401, "unknown key")


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A request that is let in.

    :param workspace: whose key it carries; None where no key is asked for.
    """

    configuration: ServingConfiguration
    route: Route
    workspace: Workspace | None


def is_current(age: float, revoke_within: float | None) -> bool:
    """Return whether a configuration is new enough to trust the keys in it.

    :param age: seconds since a newer configuration was excluded.
    :param revoke_within: seconds after which a key that was taken away must not work; None to
        serve on whatever the age.
    """
    return revoke_within is None or age < revoke_within * KEY_TRUST_FRACTION


def why_not_ready(*, stopping: bool, loaded: bool, fresh: bool) -> NotReady | None:
    """Return why this daemon should get no requests, or None if it should.

    :param loaded: whether there is a configuration.
    :param fresh: whether it is new enough for keys.
    """
    if stopping:
        return NotReady.STOPPING
    if not loaded:
        return NotReady.NO_CONFIGURATION
    if not fresh:
        return NotReady.CONFIGURATION_TOO_OLD
    return None


def admit(
    configuration: ServingConfiguration | None,
    host: str,
    path: str,
    key: str | None,
    *,
    closed: bool,
    fresh: bool,
) -> Admitted | Refusal:
    """Decide whether a request is let in, before its body is read.

    :param path: without the query.
    :param key: that the caller sent, or None.
    :param closed: whether this daemon takes no more requests.
    :param fresh: whether the configuration is new enough for keys.
    """
    if closed:
        return STOPPING
    if configuration is None:
        return NO_CONFIGURATION
    route = configuration.route_for(host, path)
    if route is None:
        return NO_ROUTE
    if route.public or not configuration.workspaces:
        return Admitted(configuration, route, None)
    if not fresh:
        return TOO_OLD_FOR_KEYS
    workspace = configuration.workspace_for(key) if key else None
    if workspace is None:
        return UNKNOWN_KEY
    return Admitted(configuration, route, workspace)


def body_refusal(size: int, limit: int) -> Refusal | None:
    """Return why a body is not taken, or None if it is.

    :param size: bytes that have come so far.
    :param limit: bytes that a body may have.
    """
    return Refusal(413, f"body over {limit} bytes") if size > limit else None
