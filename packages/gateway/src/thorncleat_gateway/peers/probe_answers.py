"""Answering the controller's probes: what is under way here, and whether an endpoint answers here.

The first report comes at once, also from a daemon that has nothing under way: the controller
must not take a daemon that it can't hear for one that has no requests at the endpoint.

Owns: the questions under way.
Relies on: the view for the endpoint's address, also of one that is no longer listed.
"""

import typing as t

import mode

from ..store.roster import Endpoint
from ..store.view import StoreView
from .datagrams import Message
from .datagrams import PeerChannel
from .datagrams import Probe
from .load_reporter import LoadReporter


class ProbeAnswers(mode.Service):
    """Asks the endpoint that a probe names, and tells the asker at once if it answers.

    :param endpoint_answers: asks an endpoint for a report and returns whether it answered.
    """

    def __init__(
        self,
        view: StoreView,
        peers: PeerChannel,
        reporter: LoadReporter,
        endpoint_answers: t.Callable[[Endpoint], t.Awaitable[bool]],
    ) -> None:
        super().__init__()
        self._view = view
        self._peers = peers
        self._reporter = reporter
        self._endpoint_answers = endpoint_answers
        peers.on_message(self._message)

    def _message(self, sender: str, message: Message) -> None:
        if not isinstance(message, Probe):
            return
        self._peers.send(sender, self._reporter.build_report())
        endpoint = self._known(message.endpoint_id)
        if endpoint is not None:
            self.add_future(self._ask(sender, endpoint))

    def _known(self, endpoint_id: str) -> Endpoint | None:
        roster = self._view.roster
        listed = roster.endpoints.get(endpoint_id)
        gone = roster.gone.get(endpoint_id)
        return listed or (gone.endpoint if gone else None)

    async def _ask(self, asker: str, endpoint: Endpoint) -> None:
        if await self._endpoint_answers(endpoint):
            # the report names the endpoint among those that were heard
            self._peers.send(asker, self._reporter.build_report())
