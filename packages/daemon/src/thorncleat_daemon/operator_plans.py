"""Changes by operators: a plan is shown, then carried out after its confirmation.

Owns: nothing; a confirmed plan is recomputed and compared with the one that was shown.
Relies on: :mod:`thorncleat_core.daemon.plans`, which gives every daemon the same plan for the same
state; the journal (:mod:`.config`), which accepts an entry once.
"""

import dataclasses
import json
import typing as t

from aiohttp import web
from returns.result import Failure

from thorncleat_core import codec
from thorncleat_core import jsonc
from thorncleat_core.daemon import plans
from thorncleat_core.daemon.configuration import Change
from thorncleat_core.daemon.fleet import Fleet
from thorncleat_core.daemon.journal import State
from thorncleat_core.daemon.plans import Plan
from thorncleat_core.exceptions import ConflictError
from thorncleat_core.exceptions import DecodeError
from thorncleat_core.exceptions import DocumentError

from . import events
from .config import ConfigManager
from .exceptions import PlatformError
from .exceptions import StoreOutcomeUnknownError
from .exceptions import StoreUnavailableError
from .gossip import Gossip
from .operator_access import ActingOperator
from .operator_access import problem
from .ports import InstanceList


class OperatorPlans:
    """Makes plans for operators and carries out confirmed ones.

    :param load_seconds: estimated time to load a model.
    """

    def __init__(
        self,
        config: ConfigManager,
        gossip: Gossip,
        instances: InstanceList,
        load_seconds: float,
    ) -> None:
        self._config = config
        self._gossip = gossip
        self._instances = instances
        self._load_seconds = load_seconds

    async def plan(self, request: web.Request, operator: ActingOperator) -> web.Response:
        """Return the plan for a change."""
        try:
            raw = await request.json()
            document = jsonc.parse(str(raw["document"]), str(raw.get("name", "intent")))
            change = jsonc.validate(document, Change)
            # A plan that is based on an outdated revision could not be confirmed.
            await self._config.try_catch_up()
            plan = await self._make_current_plan(change)
        except DocumentError as error:
            return problem(422, "the document is unusable", problems=_problems(error))
        except (ValueError, KeyError, TypeError) as error:
            return problem(400, f"a document is wanted: {error!r}")
        if isinstance(plan, web.Response):
            return plan
        events.PLAN_MADE.log(operator=operator.name, plan=plan.digest, revision=plan.base_revision)
        return web.json_response(_plan_json(plan))

    async def _make_current_plan(self, change: Change) -> Plan | web.Response:
        try:
            fleet = Fleet.from_instances(await self._instances.everything())
        except PlatformError as error:
            return problem(503, str(error), accepted="no")
        state, occupied = self._current_state()
        estimates = plans.Estimates(load=self._load_seconds)
        result = plans.make_plan(change, state, fleet, occupied, estimates)
        if isinstance(result, Failure):
            return problem(422, str(result.failure()), problems=[])
        return result.unwrap()

    def _current_state(self) -> tuple[State, set[str]]:
        """Return the state with the placements after repairs, and the occupied instances."""
        state = self._config.current
        placements = dict(state.placements)
        for group, placed in state.placements.items():
            record = self._gossip.directory.get(f"group/{group}")
            if record and not record.body.get("gone"):
                members = tuple(record.body["members"])
                placements[group] = dataclasses.replace(placed, members=members)
        occupied = {member for placed in placements.values() for member in placed.members}
        return dataclasses.replace(state, placements=placements), occupied

    async def confirm(self, request: web.Request, operator: ActingOperator) -> web.Response:
        """Carry out a plan if it still equals the plan for the present state."""
        try:
            plan = codec.validate(Plan, (await request.json())["plan"])
        except (ValueError, KeyError, TypeError, DecodeError) as error:
            return problem(400, f"a plan is wanted: {error}")
        accepted_revision = self._find_accepted_revision(plan)
        if accepted_revision is not None:
            return web.json_response({"revision": accepted_revision, "repeated": True})
        return await self._accept(plan, operator)

    def _find_accepted_revision(self, plan: Plan) -> int | None:
        entry = self._config.journal.entry(plan.base_revision + 1)
        return entry.revision if entry and entry.plan == plan.digest else None

    async def _accept(self, plan: Plan, operator: ActingOperator) -> web.Response:
        try:
            current_plan = await self._make_current_plan(plan.change)
            if isinstance(current_plan, web.Response):
                return current_plan
            plans.verify(plan, current_plan)
            revision = await self._config.accept(plan.to_entry(operator.name))
        except ConflictError as error:
            return await self._conflict(plan, operator, error)
        except DocumentError as error:
            return problem(422, "the change contradicts itself", problems=_problems(error))
        except StoreUnavailableError as error:
            return problem(503, f"not accepted: {error}", accepted="no")
        except StoreOutcomeUnknownError as error:
            text = f"{error}; confirm the same plan again to find out"
            return problem(504, text, accepted="unknown")
        events.PLAN_CONFIRMED.log(operator=operator.name, plan=plan.digest, revision=revision)
        return web.json_response({"revision": revision, "repeated": False})

    async def _conflict(
        self, plan: Plan, operator: ActingOperator, error: ConflictError
    ) -> web.Response:
        accepted_revision = self._find_accepted_revision(plan)
        if accepted_revision is not None:
            # Another daemon has accepted the same plan meanwhile.
            return web.json_response({"revision": accepted_revision, "repeated": True})
        events.PLAN_REFUSED.log(operator=operator.name, plan=plan.digest, reason=str(error))
        try:
            current_plan = await self._make_current_plan(plan.change)
        except DocumentError as unusable:
            return problem(422, "the change contradicts itself", problems=_problems(unusable))
        if isinstance(current_plan, web.Response):
            return problem(409, str(error))
        return problem(409, str(error), fresh=_plan_json(current_plan))


def _problems(error: DocumentError) -> list[dict[str, t.Any]]:
    return [dataclasses.asdict(problem) for problem in error.problems]


def _plan_json(plan: Plan) -> dict[str, t.Any]:
    return {
        "digest": plan.digest,
        "downtime_seconds": plan.downtime_seconds,
        "idle_accelerator_seconds": plan.idle_accelerator_seconds,
        "plan": json.loads(json.dumps(plan, default=codec.to_plain)),
    }
