"""The operators' command line, ``thorncleat``.

Owns: nothing.
Relies on: a daemon's operator API; making keys, checking files and reading logs need no daemon.
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
KEY_BYTES = 24
Json = dict[str, t.Any]


class Config:
    """Check files without a daemon."""

    def check(self, path: str) -> None:
        """Check a settings file or an intent file and list every problem.

        :param path: the file; it is checked as settings if it has a ``listen`` key.
        """
        document = jsonc.read(pathlib.Path(path))
        if isinstance(document.value, dict) and "listen" in document.value:
            settings.load(pathlib.Path(path))
            print(f"{path}: settings are good")
        else:
            jsonc.validate(document, Change)
            print(f"{path}: intents are good")


class Report:
    """Show reports that cover all daemons."""

    def __init__(self, commands: "Commands") -> None:
        self._commands = commands

    def burn(self, html: str = "") -> None:
        """Show how fast each workspace burns its error budget, and the causes.

        :param html: file for an additional copy as a self-contained HTML page.
        """
        answer = self._commands.api.get("/burn")
        if html:
            pathlib.Path(html).write_text(page.render(answer), encoding="utf-8")
        self._commands.show(answer, tables.burn)


class Commands:
    """Operate a thorncleat system.

    :param url: base URL of the operator API; the default is THORNCLEAT_URL.
    :param json: print JSON instead of tables.

    The operator's key is read from THORNCLEAT_KEY, which keeps it out of process listings.
    """

    def __init__(self, url: str = "", json: bool = False) -> None:
        self._url = url or os.environ.get(URL_VARIABLE, "")
        self._json = json
        self.config = Config()
        self.report = Report(self)

    @property
    def api(self) -> Api:
        """A client of the daemon's operator API.

        :raises UnusableDocumentError: if the URL is not set.
        :raises DeniedError: if the operator's key is not set.
        """
        key = os.environ.get(KEY_VARIABLE, "")
        if not self._url:
            raise UnusableDocumentError(f"--url or {URL_VARIABLE} is required")
        if not key:
            raise DeniedError(f"{KEY_VARIABLE} is required")
        return Api(self._url, key)

    def show(self, answer: Json, table: t.Callable[[Json], None]) -> None:
        """Print an answer as a table or as JSON."""
        if self._json:
            print(json.dumps(answer, indent=2, sort_keys=True))
        else:
            table(answer)

    def trace(self, request: str, *logs: str) -> None:
        """Show what happened to a request, from the daemons' log lines.

        :param request: the request's id.
        :param logs: log files; standard input if there are none.
        """
        self._show_lines(log_lines.for_request(log_lines.read(logs), str(request)), str(request))

    def why_down(self, group: str, *logs: str) -> None:
        """Show how a group was formed and ended, from the daemons' log lines.

        :param group: the group's name, such as ``g1200003``.
        :param logs: log files; standard input if there are none.
        """
        self._show_lines(log_lines.for_group(log_lines.read(logs), str(group)), str(group))

    def _show_lines(self, lines: list[Json], subject: str) -> None:
        if not lines:
            raise UnusableDocumentError(f"no log line names {subject!r}")
        if self._json:
            print(json.dumps(lines, indent=2))
        else:
            tables.show(("seconds", "daemon", "event", "what"), log_lines.rows(lines))

    def plan(self, path: str, out: str = "") -> None:
        """Show what a file's intents would change, and write a plan to confirm.

        :param path: intent file, JSON with comments.
        :param out: file for the plan; the default is ``plan-DIGEST.json``.
        """
        document = jsonc.read(pathlib.Path(path))
        jsonc.validate(document, Change)
        text = pathlib.Path(path).read_text(encoding="utf-8")
        self._request_plan({"document": text, "name": path}, out)

    def drain(self, instance: str, out: str = "", undo: bool = False) -> None:
        """Show what draining an instance would change, and write a plan to confirm.

        :param instance: the instance's id.
        :param out: file for the plan; the default is ``plan-DIGEST.json``.
        :param undo: return a drained instance to service instead.
        """
        change: Json = {"draining": [str(instance)]}
        if undo:
            change = {"remove": {"draining": [str(instance)]}}
        self._request_plan({"document": json.dumps(change), "name": "drain"}, out)

    def _request_plan(self, body: Json, out: str) -> None:
        answer = self.api.post("/plans", body)
        target = pathlib.Path(out or f"plan-{answer['digest'][:12]}.json")
        target.write_text(json.dumps(answer, indent=1), encoding="utf-8")
        self.show({**answer, "file": str(target)}, tables.plan)
        if not self._json:
            print(f"to carry it out: thorncleat confirm {target}")

    def confirm(self, plan: str) -> None:
        """Carry out a plan, unless planning now gives another result.

        :param plan: file that ``plan`` or ``drain`` wrote.
        """
        answer = _read_plan(pathlib.Path(plan))
        try:
            result = self.api.post("/confirm", {"plan": answer["plan"]})
        except PlanConflictError as error:
            if error.current_plan and not self._json:
                print(f"{error}\nnow it would be:")
                tables.plan(error.current_plan)
            raise
        self.show(result, lambda accepted: print(f"accepted as revision {accepted['revision']}"))

    def status(self) -> None:
        """Show the state of the system as the daemon sees it."""
        self.show(self.api.get("/status"), tables.fields)

    def groups(self) -> None:
        """List all serving groups."""
        self.show(self.api.get("/groups"), tables.groups)

    def explain(self, name: str) -> None:
        """Show the details of a group or of a recent request.

        :param name: a group's name or a request's id.
        """
        self.show(self.api.get(f"/explain/{name}"), tables.fields)

    def key(self) -> None:
        """Generate a key for a workspace or an operator, and its digest for the intent file."""
        new_key = secrets.token_urlsafe(KEY_BYTES)
        answer = {"key": new_key, "digest": keys.digest(new_key)}
        self.show(answer, tables.fields)

    def peer_key(self) -> None:
        """Generate a key pair for the connections between daemons."""
        public, secret = (key_part.decode() for key_part in zmq.curve_keypair())
        self.show({"public": public, "secret": secret}, tables.fields)


def _read_plan(path: pathlib.Path) -> Json:
    answer = jsonc.read(path).value
    if not isinstance(answer, dict) or "plan" not in answer:
        raise UnusableDocumentError(f"{str(path)!r} is not a plan file")
    return answer


def _exit_code(error: ThorncleatError) -> int:
    if isinstance(error, DocumentError):
        return UnusableDocumentError.exit_code
    return error.exit_code if isinstance(error, ClientError) else ClientError.exit_code


def main() -> None:
    """Run the program; docs/OPERATORS.md lists its exit codes."""
    try:
        fire.Fire(Commands, name="thorncleat")
    except ThorncleatError as error:
        print(error, file=sys.stderr)
        raise SystemExit(_exit_code(error)) from error
