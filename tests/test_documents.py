"""Errors in settings and intents are reported with their path and line."""

import json

import pytest

from thorncleat_core import jsonc
from thorncleat_core.daemon import settings
from thorncleat_core.daemon.configuration import Change
from thorncleat_core.daemon.configuration import Configuration
from thorncleat_core.exceptions import DocumentError

from .makers import change
from .makers import digest

GOOD = {
    "cluster": "c",
    "daemon": {"id": "d-1", "failure_domain": "fd", "region": "r"},
    "listen": {
        "callers": "127.0.0.1:8000",
        "operators": "127.0.0.1:8001",
        "peers": "127.0.0.1:8002",
    },
    "peer_keys": {"public": "x" * 40, "secret": "s" * 40, "accepted": ["x" * 40]},
    "store": {"endpoints": ["127.0.0.1:2379"]},
    "platform": {"endpoints": ["127.0.0.1:80"]},
}


def _load(tmp_path, text: str):
    path = tmp_path / "settings.json"
    path.write_text(text)
    return settings.load(path)


def _problems(tmp_path, **changes):
    document = json.loads(json.dumps(GOOD))
    for path, value in changes.items():
        *parents, last = path.split("__")
        target = document
        for parent in parents:
            target = target.setdefault(parent, {})
        target[last] = value
    with pytest.raises(DocumentError) as caught:
        _load(tmp_path, json.dumps(document, indent=1))
    return caught.value.problems


class TestSyntax:
    def test_comments_and_trailing_commas_are_accepted(self, tmp_path):
        text = "// first\n" + json.dumps(GOOD)[:-1] + ", /* inner */\n}\n"
        assert _load(tmp_path, text).cluster == "c"

    @pytest.mark.parametrize(
        "text", ["", "{", '{"a": }', "[1, 2", '{"a": 1}}', "nonsense", '{"a" 1}', "/* open"]
    )
    def test_invalid_syntax_is_rejected(self, text):
        with pytest.raises(DocumentError):
            jsonc.validate(jsonc.parse(text, "f"), Change)

    def test_duplicate_key_names_both_lines(self):
        with pytest.raises(DocumentError, match=r"f:3: a: key 'a' stands twice, first on line 2"):
            jsonc.parse('{\n"a": 1,\n"a": 2}', "f")

    def test_missing_file_is_an_error(self, tmp_path):
        with pytest.raises(DocumentError, match="can't be read"):
            settings.load(tmp_path / "none.json")

    def test_document_over_the_size_limit_is_rejected(self):
        with pytest.raises(DocumentError, match="larger than 1000000 bytes"):
            jsonc.parse('"' + "x" * 1_000_000 + '"', "f")

    def test_negative_numbers_and_null_are_parsed(self):
        assert jsonc.parse('{"a": -1.5, "b": null, "c": [true]}', "f").value == {
            "a": -1.5,
            "b": None,
            "c": [True],
        }


class TestSettings:
    def test_all_errors_are_reported_with_their_lines(self, tmp_path):
        text = '{\n"cluster": "c",\n"unknown": 1,\n"daemon": {"id": 5}\n}'
        with pytest.raises(DocumentError) as caught:
            _load(tmp_path, text)
        found = {(problem.line, problem.path): problem.message for problem in caught.value.problems}
        assert found[(3, "unknown")] == "unknown key"
        assert found[(4, "daemon.region")] == "this key is required"
        assert "not 5" in found[(4, "daemon.id")]
        assert (1, "store") in found

    @pytest.mark.parametrize(
        ("path", "value", "message"),
        [
            ("listen__callers", "localhost:80", "an IP number and a port"),
            ("listen__callers", "127.0.0.1:99999", "not between 0 and 65535"),
            ("listen__callers", "127.0.0.1:8001", "used twice"),
            ("control__probe", -1, "greater than 0"),
            ("control__probe", "fast", "valid number"),
            ("control__window", 0.5, "must be over twice probe"),
            ("control__lease", 2.0, "over three times its margin"),
            ("operators", [{"name": "o", "key_digest": "plain-key"}], "SHA-256 digest"),
            ("log_level", "loud", "'debug'"),
        ],
    )
    def test_error_names_the_problem(self, tmp_path, path, value, message):
        (problem,) = _problems(tmp_path, **{path: value})
        assert message in problem.message
        assert problem.line > 0

    def test_missing_certificate_files_are_errors(self, tmp_path):
        tls = {"certificate": "/none.pem", "key": "/none.key"}
        problems = _problems(tmp_path, listen__callers_tls=tls)
        assert [problem.path for problem in problems] == [
            "listen.callers_tls.certificate",
            "listen.callers_tls.key",
        ]

    def test_secret_key_is_not_printed(self, tmp_path):
        loaded = _load(tmp_path, json.dumps(GOOD))
        assert "s" * 40 not in repr(loaded)
        assert "s" * 40 not in loaded.model_dump_json()


class TestIntents:
    def _error_text(self, text: str) -> str:
        with pytest.raises(DocumentError) as caught:
            jsonc.validate(jsonc.parse(text, "intent"), Change)
        return str(caught.value)

    @pytest.mark.parametrize(
        ("key", "value", "message"),
        [
            ("instances_per_replica", 3, "greater than or equal to 4, not 3"),
            ("instances_per_replica", 33, "less than or equal to 32, not 33"),
            ("replicas", 0, "greater than or equal to 1"),
            ("name", "Not A Name", "should match pattern"),
            ("workspaces", [], "at least 1 item"),
        ],
    )
    def test_error_names_the_problem(self, key, value, message):
        fields = change().model_dump(mode="json")["intents"][0] | {key: value}
        text = json.dumps({"intents": [fields]}, indent=1)
        assert message in self._error_text(text)

    def test_key_in_place_of_its_digest_is_not_printed(self):
        text = '{"workspaces": [{"name": "a", "key_digests": ["the-secret-itself"]}]}'
        message = self._error_text(text)
        assert "SHA-256" in message
        assert "the-secret-itself" not in message

    def test_unknown_workspace_is_an_error(self):
        with pytest.raises(DocumentError, match=r"intents.narrator.workspaces: unknown .* 'a'"):
            Configuration().with_change(change(workspaces=[]))

    def test_key_of_two_workspaces_is_an_error(self):
        workspaces = [{"name": name, "key_digests": [digest("same")]} for name in ("a", "b")]
        with pytest.raises(DocumentError, match="share a key"):
            Configuration().with_change(change(workspaces=workspaces))

    def test_removal_of_an_unknown_name_is_an_error(self):
        with pytest.raises(DocumentError, match="'x' is not there to remove"):
            Configuration().with_change(Change.model_validate({"remove": {"intents": ["x"]}}))
