"""Answers the controller's probes with load reports.

A daemon without requests answers too, so that the controller can tell it from one that is
unreachable.

Owns: the calls to probed endpoints.
Relies on: the view for the address of an endpoint, even if it is no longer listed.
"""

import typing as t

from ..service import Service
from ..store.roster import Endpoint
from ..store.view import StoreView
from .datagrams import PeerChannel
from .load_reporter import LoadReporter
from .messages import Message
from .messages import Probe
from .messages import ProbeResult


class ProbeAnswers(Service):
    """Calls the endpoint that a probe names, and reports to the controller if it answers.

    :param endpoint_answers: asks an endpoint for a report and returns whether it answered.
    :param clock: monotonic, in seconds.
    :param confirms_reach: returns whether this daemon has reached a service since an instant.
    """

    def __init__(
        self,
        view: StoreView,
        peers: PeerChannel,
        reporter: LoadReporter,
        endpoint_answers: t.Callable[[Endpoint], t.Awaitable[bool]],
        clock: t.Callable[[], float],
        confirms_reach: t.Callable[[str, float], t.Awaitable[bool]],
    ) -> None:
        super().__init__()
        self._view = view
        self._peers = peers
        self._reporter = reporter
        self._endpoint_answers = endpoint_answers
        self._clock = clock
        self._confirms_reach = confirms_reach
        peers.on_message(self._on_message)

    def _on_message(self, sender: str, message: Message) -> None:
        if not isinstance(message, Probe):
            return
        self._peers.send(sender, self._reporter.build_report())
        endpoint = self._find_endpoint(message.endpoint_id)
        if endpoint is not None:
            self.add_future(self._probe_endpoint(sender, endpoint))

    def _find_endpoint(self, endpoint_id: str) -> Endpoint | None:
        roster = self._view.roster
        listed = roster.endpoints.get(endpoint_id)
        removed = roster.removed.get(endpoint_id)
        return listed or (removed.endpoint if removed else None)

    async def _probe_endpoint(self, controller: str, endpoint: Endpoint) -> None:
        began_at = self._clock()
        answered = await self._endpoint_answers(endpoint)
        if answered:
            # This report names the endpoint among the recent contacts.
            self._peers.send(controller, self._reporter.build_report())
        reaches_others = answered or await self._confirms_reach(endpoint.service, began_at)
        result = ProbeResult(endpoint.id, answered, reaches_others)
        self._peers.send(controller, result)
