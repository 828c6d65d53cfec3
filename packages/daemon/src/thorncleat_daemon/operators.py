"""The operators' side: plans, confirmation, and what the system is doing."""

import asyncio
import collections
import dataclasses
import json
import time
import typing as t

from aiohttp import web
from returns.result import Failure

from thorncleat_core import codec
from thorncleat_core import jsonc
from thorncleat_core.daemon import keys
from thorncleat_core.daemon import plans
from thorncleat_core.daemon.burn import BurnCounts
from thorncleat_core.daemon.burn import Subject
from thorncleat_core.daemon.configuration import Change
from thorncleat_core.daemon.fleet import Fleet
from thorncleat_core.daemon.journal import State
from thorncleat_core.daemon.plans import Plan
from thorncleat_core.daemon.settings import BootstrapOperator
from thorncleat_core.exceptions import ConflictError
from thorncleat_core.exceptions import DecodeError
from thorncleat_core.exceptions import DocumentError

from . import events
from .config import ConfigKeeper
from .dispatch import Dispatcher
from .domains import DomainKeeper
from .exceptions import PeerError
from .exceptions import PlatformError
from .exceptions import StoreOutcomeUnknownError
from .exceptions import StoreUnavailableError
from .gossip import Gossip
from .holder import ShardHolder
from .metrics import Metrics
from .peers import ZmqPeers
from .ports import InstanceList
from .recent import RecentRequests

PREFIX = "/operators/v1"
GATHER_AT_ONCE = 32
GATHER_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Who:
    """An operator who was recognised."""

    name: str
    rights: str


@dataclasses.dataclass
class Parts:
    """The daemon's parts that operators look at."""

    me: str
    config: ConfigKeeper
    gossip: Gossip
    holder: ShardHolder
    dispatcher: Dispatcher
    metrics: Metrics
    recent: RecentRequests
    peers: ZmqPeers
    instances: InstanceList
    store_reachable: t.Callable[[], bool]
    load_seconds: float


def _error(status: int, detail: str, **more: t.Any) -> web.Response:
    body = {"status": status, "detail": detail, **more}
    return web.json_response(body, status=status, content_type="application/problem+json")


class Operators:
    """Takes the operators' requests.

    :param bootstrap: operators from the settings, with the right to change.
    """

    def __init__(self, parts: Parts, bootstrap: t.Sequence[BootstrapOperator]) -> None:
        self._parts = parts
        self._bootstrap = bootstrap
        parts.peers.handle("burn", self._on_burn)
        parts.peers.handle("explain", self._on_explain)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=2 * jsonc.MAX_DOCUMENT_BYTES)
        app.router.add_post(f"{PREFIX}/plans", self._plan)
        app.router.add_post(f"{PREFIX}/confirm", self._confirm)
        app.router.add_get(f"{PREFIX}/status", self._status)
        app.router.add_get(f"{PREFIX}/groups", self._groups)
        app.router.add_get(f"{PREFIX}/explain/{{name}}", self._explain)
        app.router.add_get(f"{PREFIX}/burn", self._burn)
        return app

    # who may do what

    def _who(self, request: web.Request) -> Who | None:
        key = keys.bearer(request.headers.get("Authorization"))
        if key is None:
            return None
        wanted = keys.digest(key)
        for operator in self._parts.config.current.configuration.operators.values():
            if keys.same(operator.key_digest, wanted):
                return Who(operator.name, operator.rights)
        for bootstrap in self._bootstrap:
            if keys.same(bootstrap.key_digest, wanted):
                return Who(bootstrap.name, "change")
        return None

    def _allowed(self, request: web.Request, right: str) -> Who | web.Response:
        who = self._who(request)
        if who is None:
            return _error(401, "an operator's key is wanted as a bearer")
        if right == "change" and who.rights != "change":
            events.OPERATOR_DENIED.log(operator=who.name, path=request.path)
            return _error(403, f"operator {who.name!r} may read only")
        return who

    # plans

    async def _plan(self, request: web.Request) -> web.Response:
        who = self._allowed(request, "change")
        if isinstance(who, web.Response):
            return who
        try:
            raw = await request.json()
            document = jsonc.parse(str(raw["document"]), str(raw.get("name", "intent")))
            change = jsonc.validate(document, Change)
            # a plan from a revision that has just been overtaken could not be confirmed
            await self._parts.config.catch_up_if_possible()
            plan = await self._fresh(change)
        except DocumentError as error:
            return _error(422, "the document is unusable", problems=_problems(error))
        except (ValueError, KeyError, TypeError) as error:
            return _error(400, f"a document is wanted: {error!r}")
        if isinstance(plan, web.Response):
            return plan
        events.PLAN_MADE.log(operator=who.name, plan=plan.digest, revision=plan.base_revision)
        return web.json_response(_plan_json(plan))

    async def _fresh(self, change: Change) -> Plan | web.Response:
        try:
            fleet = Fleet.of(await self._parts.instances.everything())
        except PlatformError as error:
            return _error(503, str(error), accepted="no")
        state, taken = self._actual()
        times = plans.Estimates(load=self._parts.load_seconds)
        made = plans.make(change, state, fleet, taken, times)
        if isinstance(made, Failure):
            return _error(422, str(made.failure()), problems=[])
        return made.unwrap()

    def _actual(self) -> tuple[State, set[str]]:
        """Return the state with placements as they stand after repairs, and what is taken."""
        state = self._parts.config.current
        placements = dict(state.placements)
        for group, placed in state.placements.items():
            record = self._parts.gossip.directory.get(f"group/{group}")
            if record and not record.body.get("gone"):
                members = tuple(record.body["members"])
                placements[group] = dataclasses.replace(placed, members=members)
        taken = {member for placed in placements.values() for member in placed.members}
        return dataclasses.replace(state, placements=placements), taken

    async def _confirm(self, request: web.Request) -> web.Response:
        who = self._allowed(request, "change")
        if isinstance(who, web.Response):
            return who
        try:
            plan = codec.validated(Plan, (await request.json())["plan"])
        except (ValueError, KeyError, TypeError, DecodeError) as error:
            return _error(400, f"a plan is wanted: {error}")
        done = self._accepted_before(plan)
        if done is not None:
            return web.json_response({"revision": done, "repeated": True})
        return await self._accept(plan, who)

    def _accepted_before(self, plan: Plan) -> int | None:
        entry = self._parts.config.journal.entry(plan.base_revision + 1)
        return entry.revision if entry and entry.plan == plan.digest else None

    async def _accept(self, plan: Plan, who: Who) -> web.Response:
        try:
            fresh = await self._fresh(plan.change)
            if isinstance(fresh, web.Response):
                return fresh
            plans.verify(plan, fresh)
            revision = await self._parts.config.accept(plan.entry(who.name))
        except ConflictError as error:
            return await self._conflict(plan, who, error)
        except DocumentError as error:
            return _error(422, "the change contradicts itself", problems=_problems(error))
        except StoreUnavailableError as error:
            return _error(503, f"not accepted: {error}", accepted="no")
        except StoreOutcomeUnknownError as error:
            text = f"{error}; confirm the same plan again to find out"
            return _error(504, text, accepted="unknown")
        events.PLAN_CONFIRMED.log(operator=who.name, plan=plan.digest, revision=revision)
        return web.json_response({"revision": revision, "repeated": False})

    async def _conflict(self, plan: Plan, who: Who, error: ConflictError) -> web.Response:
        done = self._accepted_before(plan)
        if done is not None:
            # this very plan was accepted meanwhile, at another daemon
            return web.json_response({"revision": done, "repeated": True})
        events.PLAN_REFUSED.log(operator=who.name, plan=plan.digest, reason=str(error))
        try:
            fresh = await self._fresh(plan.change)
        except DocumentError as problem:
            return _error(422, "the change contradicts itself", problems=_problems(problem))
        if isinstance(fresh, web.Response):
            return _error(409, str(error))
        return _error(409, str(error), fresh=_plan_json(fresh))

    # looking

    async def _status(self, request: web.Request) -> web.Response:
        who = self._allowed(request, "read")
        if isinstance(who, web.Response):
            return who
        parts = self._parts
        configuration = parts.config.current.configuration
        body = {
            "daemon": parts.me,
            "revision": parts.config.journal.head.revision,
            "loaded": parts.config.loaded,
            "store_reachable": parts.store_reachable(),
            "daemons": list(parts.gossip.members.alive),
            "listed_daemons": len(parts.gossip.members.addresses),
            "shards_held": sorted(parts.holder.held),
            "workspaces": sorted(configuration.workspaces),
            "intents": sorted(configuration.intents),
            "services": sorted(configuration.services),
            "draining": sorted(configuration.draining),
            "waiting": parts.dispatcher.waiting,
            "groups": self._counts(),
        }
        return web.json_response(body)

    def _counts(self) -> dict[str, int]:
        counts: collections.Counter[str] = collections.Counter()
        for row in self._group_rows():
            counts[row["state"]] += 1
        return dict(counts)

    def _group_rows(self) -> list[dict[str, t.Any]]:
        state = self._parts.config.current
        rows = []
        for group, placed in sorted(state.placements.items()):
            record = self._parts.gossip.directory.get(f"group/{group}")
            body = record.body if record and not record.body.get("gone") else None
            rows.append(
                {
                    "group": group,
                    "intent": placed.intent,
                    "domain": placed.domain,
                    "state": _group_state(body),
                    "model": body["model"] if body else "",
                    "version": body["version"] if body else "",
                    "generation": body["generation"] if body else 0,
                    "members": list(body["members"]) if body else list(placed.members),
                }
            )
        return rows

    async def _groups(self, request: web.Request) -> web.Response:
        who = self._allowed(request, "read")
        if isinstance(who, web.Response):
            return who
        return web.json_response({"groups": self._group_rows()})

    async def _explain(self, request: web.Request) -> web.Response:
        who = self._allowed(request, "read")
        if isinstance(who, web.Response):
            return who
        name = request.match_info["name"]
        for row in self._group_rows():
            if row["group"] == name:
                return web.json_response({"kind": "group", **self._explained(row)})
        found = await self._gather("explain", name)
        records = [record for record in found.values() if record]
        if not records:
            return _error(404, f"no group and no recent request {name!r}")
        return web.json_response({"kind": "request", **records[0]})

    def _explained(self, row: dict[str, t.Any]) -> dict[str, t.Any]:
        shard = self._parts.holder.shard_of(row["domain"])
        keeper = self._parts.holder.keepers.get(row["domain"])
        return {
            **row,
            "members": [_member(member, keeper) for member in row["members"]],
            "shard": shard,
            "holder": self._parts.holder.holder_of(shard),
            "candidates": self._parts.holder.candidates(shard),
        }

    async def _on_explain(self, sender: str, body: t.Any) -> t.Any:
        found = self._parts.recent.get(str(body))
        return dataclasses.asdict(found) if found else None

    # service levels

    async def _on_burn(self, sender: str, body: t.Any) -> t.Any:
        keepers = self._parts.holder.keepers.values()
        down = {
            group: seconds
            for keeper in keepers
            for group, seconds in keeper.downtime.group_seconds.items()
        }
        return {
            "counts": self._parts.metrics.burn.export(),
            "down_seconds": down,
            "stranded_seconds": sum(keeper.downtime.stranded_seconds for keeper in keepers),
        }

    async def _burn(self, request: web.Request) -> web.Response:
        who = self._allowed(request, "read")
        if isinstance(who, web.Response):
            return who
        gathered = await self._gather("burn", None)
        merged = BurnCounts()
        down: collections.Counter[str] = collections.Counter()
        stranded = 0.0
        for figures in gathered.values():
            merged.merge(figures["counts"])
            for group, seconds in figures["down_seconds"].items():
                down[group] += seconds
            stranded += figures["stranded_seconds"]
        rows = merged.rows(self._objective, time.time())
        body = {
            "daemons": sorted(gathered),
            "silent": sorted(set(self._parts.gossip.members.alive) - set(gathered)),
            "rows": [json.loads(json.dumps(dataclasses.asdict(row))) for row in rows],
            "down_seconds": dict(down),
            "stranded_accelerator_seconds": stranded,
        }
        return web.json_response(body)

    def _objective(self, subject: Subject) -> float:
        workspace = self._parts.config.current.configuration.workspaces.get(subject.workspace)
        return workspace.availability if workspace else 0.999

    async def _gather(self, kind: str, body: t.Any) -> dict[str, t.Any]:
        """Ask all daemons and return the answers of those that gave one."""
        room = asyncio.Semaphore(GATHER_AT_ONCE)
        answers: dict[str, t.Any] = {}

        async def ask(peer: str) -> None:
            async with room:
                try:
                    answers[peer] = await self._parts.peers.ask(peer, kind, body, GATHER_SECONDS)
                except PeerError:
                    return

        await asyncio.gather(*(ask(peer) for peer in self._parts.gossip.members.alive))
        return answers


def _group_state(body: t.Mapping[str, t.Any] | None) -> str:
    if body is None:
        return "starting"
    return "open" if body["open"] else "closed"


def _member(name: str, keeper: DomainKeeper | None) -> dict[str, str]:
    """Return what this daemon knows of a member; only its holder knows more than the name."""
    if keeper is None:
        return {"id": name}
    listed, report = keeper.listed.get(name), keeper.reports.get(name)
    found = {"id": name, "listed": str(listed.state) if listed else "no"}
    if report is None:
        return {**found, "reports": "nothing"}
    follows = f"{report.group or 'no group'} at {report.generation}"
    return {**found, "reports": follows if report.ready else f"{follows}, loading"}


def _problems(error: DocumentError) -> list[dict[str, t.Any]]:
    return [dataclasses.asdict(problem) for problem in error.problems]


def _plan_json(plan: Plan) -> dict[str, t.Any]:
    return {
        "digest": plan.digest,
        "downtime_seconds": plan.downtime_seconds,
        "idle_accelerator_seconds": plan.idle_accelerator_seconds,
        "plan": json.loads(json.dumps(plan, default=codec.plain)),
    }
