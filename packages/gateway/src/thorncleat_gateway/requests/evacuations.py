"""Keeps requests away from the endpoints of failure domains that operators have evacuated.

Work on the power or the network of a failure domain begins once its endpoints get nothing new. So
this is checked when an endpoint is chosen, and again when a request is sent, since the evacuation
may come between the two. Running requests are not aborted, and groups stay open, so that they serve
at once after the evacuation.

Owns: the evacuated failure domains as the store's view shows them.
Relies on: :mod:`..store.view` for the records, into which the platform's adapter translates the
operators' requests.
"""

import typing as t

from .. import events
from ..callbacks import Callbacks
from ..exceptions import EndpointNotAcceptingError
from ..store.evacuated_domains import evacuated_domains
from ..store.roster import Endpoint
from ..store.view import StoreView


class Evacuations:
    """The failure domains whose endpoints get no requests."""

    def __init__(self, view: StoreView) -> None:
        self._view = view
        self._records_version = -1
        self._failure_domains: frozenset[str] = frozenset()
        self._end_listeners = Callbacks[[str]]("end of an evacuation")
        view.on_change(self._update)

    def on_end(self, listener: t.Callable[[str], None]) -> None:
        """Call a function with each failure domain whose evacuation ends."""
        self._end_listeners.add(listener)

    def count(self) -> int:
        """Return the number of evacuated failure domains."""
        self._update()
        return len(self._failure_domains)

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether the endpoints of a failure domain get no requests."""
        self._update()
        return failure_domain in self._failure_domains

    def accepting(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that aren't in evacuated failure domains."""
        self._update()
        # Fast path, since this runs for every choice of an endpoint.
        if not self._failure_domains:
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.failure_domain not in self._failure_domains
        ]

    def check(self, endpoint: Endpoint) -> None:
        """Check right before a request is sent that its endpoint's failure domain isn't evacuated.

        :raises EndpointNotAcceptingError: if it is.
        """
        if self.is_evacuated(endpoint.failure_domain):
            raise EndpointNotAcceptingError(
                f"failure domain {endpoint.failure_domain!r} of {endpoint.id!r} is evacuated"
            )

    def _update(self) -> None:
        """Read the records if they have changed, and report what began or ended."""
        if self._records_version == self._view.records_version:
            return
        self._records_version = self._view.records_version
        before = self._failure_domains
        self._failure_domains = evacuated_domains(self._view.records)
        age = round(self._view.age(), 3)
        for failure_domain in sorted(self._failure_domains - before):
            events.EVACUATED.log(failure_domain=failure_domain, age=age)
        for failure_domain in sorted(before - self._failure_domains):
            events.EVACUATION_ENDED.log(failure_domain=failure_domain, age=age)
            self._end_listeners.call(failure_domain)
