"""The program ``thorncleat``.

Owns: nothing.
Relies on: a daemon's operators' side for all but keys, checks and stories, which need none.
"""

import json
import os
import pathlib
import secrets
import sys
import typing as t

import fire
import zmq

from thorncleat_core import jsonc
from thorncleat_core.daemon import keys
from thorncleat_core.daemon import settings
from thorncleat_core.daemon.configuration import Change
from thorncleat_core.exceptions import DocumentError
from thorncleat_core.exceptions import ThorncleatError

from . import logs as log_lines
from . import page
from . import tables
from .api import Api
from .exceptions import ClientError
from .exceptions import DeniedError
from .exceptions import PlanConflictError
from .exceptions import UnusableDocumentError

URL_VARIABLE = "THORNCLEAT_URL"
KEY_VARIABLE = "THORNCLEAT_KEY"
# of randomness in a new key
KEY_BYTES = 24
Json = dict[str, t.Any]


class Config:
    """Checks of files, without a daemon."""

    def check(self, path: str) -> None:
        """Check a settings file or an intent file and list everything that is wrong.

        :param path: the file; one with a ``listen`` key is taken for settings.
        """
        document = jsonc.read(pathlib.Path(path))
        if isinstance(document.value, dict) and "listen" in document.value:
            settings.load(pathlib.Path(path))
            print(f"{path}: settings are good")
        else:
            jsonc.validate(document, Change)
            print(f"{path}: intents are good")


class Report:
    """Reports over all daemons."""

    def __init__(self, commands: "Commands") -> None:
        self._commands = commands

    def burn(self, html: str = "") -> None:
        """Show how fast each workspace uses up its error budget, and by what.

        :param html: also write a self-contained page to this file.
        """
        answer = self._commands.api.get("/burn")
        if html:
            pathlib.Path(html).write_text(page.render(answer), encoding="utf-8")
        self._commands.show(answer, tables.burn)


class Commands:
    """Operate a thorncleat system.

    :param url: of the operators' side; default from THORNCLEAT_URL.
    :param json: print JSON instead of tables.

    The operator's key is read from THORNCLEAT_KEY, so that it shows in no list of processes.
    """

    def __init__(self, url: str = "", json: bool = False) -> None:
        self._url = url or os.environ.get(URL_VARIABLE, "")
        self._json = json
        self.config = Config()
        self.report = Report(self)

    @property
    def api(self) -> Api:
        """The daemon's operators' side."""
        key = os.environ.get(KEY_VARIABLE, "")
        if not self._url:
            raise UnusableDocumentError(f"--url or {URL_VARIABLE} is wanted")
        if not key:
            raise DeniedError(f"{KEY_VARIABLE} is wanted")
        return Api(self._url, key)

    def show(self, answer: Json, table: t.Callable[[Json], None]) -> None:
        """Print an answer as a table or as JSON."""
        if self._json:
            print(json.dumps(answer, indent=2, sort_keys=True))
        else:
            table(answer)

    def trace(self, request: str, *logs: str) -> None:
        """Tell what happened to a request, from the daemons' log lines.

        :param request: its id.
        :param logs: files of log lines; standard input if none is named.
        """
        self._story(log_lines.of_request(log_lines.read(logs), str(request)), str(request))

    def why_down(self, group: str, *logs: str) -> None:
        """Tell how a group came and went, from the daemons' log lines.

        :param group: its name, as in ``g1200003``.
        :param logs: files of log lines; standard input if none is named.
        """
        self._story(log_lines.of_group(log_lines.read(logs), str(group)), str(group))

    def _story(self, lines: list[Json], wanted: str) -> None:
        if not lines:
            raise UnusableDocumentError(f"no log line names {wanted!r}")
        if self._json:
            print(json.dumps(lines, indent=2))
        else:
            tables.show(("seconds", "daemon", "event", "what"), log_lines.rows(lines))

    def plan(self, path: str, out: str = "") -> None:
        """Show what a file's intents would change, and write the plan to confirm.

        :param path: intent file, JSON with comments.
        :param out: where to write the plan; default ``plan-DIGEST.json``.
        """
        document = jsonc.read(pathlib.Path(path))
        jsonc.validate(document, Change)
        text = pathlib.Path(path).read_text(encoding="utf-8")
        self._planned({"document": text, "name": path}, out)

    def drain(self, instance: str, out: str = "", undo: bool = False) -> None:
        """Show what emptying an instance of work would change, and write the plan.

        :param instance: the instance's id.
        :param undo: let a drained instance be used again.
        """
        change: Json = {"draining": [str(instance)]}
        if undo:
            change = {"remove": {"draining": [str(instance)]}}
        self._planned({"document": json.dumps(change), "name": "drain"}, out)

    def _planned(self, body: Json, out: str) -> None:
        answer = self.api.post("/plans", body)
        target = pathlib.Path(out or f"plan-{answer['digest'][:12]}.json")
        target.write_text(json.dumps(answer, indent=1), encoding="utf-8")
        self.show({**answer, "file": str(target)}, tables.plan)
        if not self._json:
            print(f"to carry it out: thorncleat confirm {target}")

    def confirm(self, plan: str) -> None:
        """Carry a plan out, if it is still what would be planned now.

        :param plan: the file that ``plan`` or ``drain`` wrote.
        """
        answer = _read_plan(pathlib.Path(plan))
        try:
            done = self.api.post("/confirm", {"plan": answer["plan"]})
        except PlanConflictError as error:
            if error.fresh and not self._json:
                print(f"{error}\nnow it would be:")
                tables.plan(error.fresh)
            raise
        self.show(done, lambda accepted: print(f"accepted as revision {accepted['revision']}"))

    def status(self) -> None:
        """Show what a daemon knows of the system."""
        self.show(self.api.get("/status"), tables.fields)

    def groups(self) -> None:
        """Show all serving groups."""
        self.show(self.api.get("/groups"), tables.groups)

    def explain(self, name: str) -> None:
        """Show what is known of a group or of a recent request.

        :param name: a group's name or a request's id.
        """
        self.show(self.api.get(f"/explain/{name}"), tables.fields)

    def key(self) -> None:
        """Make a new key for a workspace or an operator, and its digest for the file."""
        made = secrets.token_urlsafe(KEY_BYTES)
        answer = {"key": made, "digest": keys.digest(made)}
        self.show(answer, tables.fields)

    def peer_key(self) -> None:
        """Make a new pair of keys for the daemons among themselves."""
        public, secret = (half.decode() for half in zmq.curve_keypair())
        self.show({"public": public, "secret": secret}, tables.fields)


def _read_plan(path: pathlib.Path) -> Json:
    answer = jsonc.read(path).value
    if not isinstance(answer, dict) or "plan" not in answer:
        raise UnusableDocumentError(f"{str(path)!r} holds no plan")
    return answer


def _exit_code(error: ThorncleatError) -> int:
    if isinstance(error, DocumentError):
        return UnusableDocumentError.exit_code
    return error.exit_code if isinstance(error, ClientError) else ClientError.exit_code


def main() -> None:
    """Run the program; its exit codes are listed in docs/OPERATORS.md."""
    try:
        fire.Fire(Commands, name="thorncleat")
    except ThorncleatError as error:
        print(error, file=sys.stderr)
        raise SystemExit(_exit_code(error)) from error
