"""Loading models onto the hosts of spare endpoints, within the weight store's rate."""

import typing as t

from .. import events
from ..exceptions import EndpointError
from ..exceptions import EndpointGoneError
from ..ports import Load
from ..store.roster import Endpoint
from ..store.serving import Engine
from ..store.serving import EngineModel
from ..store.view import StoreView
from .formation import Stage
from .lost_endpoints import LostEndpoints
from .lost_endpoints import Start
from .orders import Orders

LOAD_TRIES = 6
# times its usual duration after which a load counts as failed
LOAD_PATIENCE = 3.0
# part of the weight store's rate that is used
LOAD_RATE_PART = 0.9


class ModelLoader:
    """Orders loads, and knows which are under way.

    :param start: runs a coroutine beside the others of the controller.
    """

    def __init__(
        self,
        view: StoreView,
        orders: Orders,
        lost: LostEndpoints,
        clock: t.Callable[[], float],
        start: Start,
    ) -> None:
        self._view = view
        self._orders = orders
        self._lost = lost
        self._clock = clock
        self._start = start
        # the model and until when it may take, by endpoint
        self._staging: dict[str, tuple[str, float]] = {}
        self._tokens = 0.0
        self._filled_at = clock()

    def staging(self) -> dict[str, str]:
        """Return the model that is being loaded, by endpoint."""
        now = self._clock()
        self._staging = {
            key: one
            for key, one in self._staging.items()
            if one[1] > now and not self._has(key, one[0])
        }
        return {key: model for key, (model, _) in self._staging.items()}

    def _has(self, endpoint_id: str, model: str) -> bool:
        listed = self._view.roster.endpoints.get(endpoint_id)
        return listed is not None and model in listed.staged

    def may_load(self, engine: Engine) -> bool:
        """Take a load out of the weight store's rate; tell whether it may begin."""
        now = self._clock()
        rate = engine.loads_per_second * LOAD_RATE_PART
        most = 2 * rate + engine.loads_at_once / 2
        self._tokens = min(most, self._tokens + (now - self._filled_at) * rate)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def stage(self, stage: Stage) -> None:
        """Load a model onto a host."""
        one, model = stage.endpoint, stage.model
        self._staging[one.id] = (model.name, self._clock() + LOAD_PATIENCE * model.load)
        events.ENDPOINT_STAGED.log(endpoint=one.id, model=model.name, domain=one.fabric_domain)
        self._start(self._load(one, model))

    async def _load(self, one: Endpoint, model: EngineModel) -> None:
        for _ in range(LOAD_TRIES):
            try:
                await self._orders.give(one, Load(model.name))
            except EndpointGoneError:
                self._lost.lose(one, "process ended")
            except EndpointError:
                if await self._orders.answers(one):
                    continue
                self._lost.lose(one, "silent")
            return
