"""The page on the architecture names what exists, and each module says what it is for."""

import ast
import pathlib
import re

import pytest

from thorncleat_gateway import events

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / "docs/ARCHITECTURE.md").read_text()
GATEWAY = ROOT / "packages/gateway/src/thorncleat_gateway"
FOLDERS = ("requests", "callers", "groups", "store", "peers", "tunnels")
SOURCES = ("packages", "platform", "bench")
# modules that don't say yet what they own and rely on; a line goes when its module is done
NOT_TOLD_YET: set[str] = set()


def modules():
    for folder in SOURCES:
        for path in sorted((ROOT / folder).rglob("*.py")):
            name = str(path.relative_to(ROOT))
            if path.name not in ("__init__.py", "__main__.py") and "/build/" not in name:
                yield name


# a name that begins like this one is a record in the store
RECORD = "thorncleat/"


@pytest.mark.parametrize("name", sorted(set(re.findall(rf"`((?!{RECORD})\w+/\w+)`", PAGE))))
def test_modules_of_the_page_exist(name):
    folder = name.split("/")[0]
    if folder in FOLDERS:
        assert (GATEWAY / f"{name}.py").is_file()
    else:
        platform = ROOT / "platform/src/thorncleat_platform" / f"{name.split('/')[1]}.py"
        assert (ROOT / name).is_dir() or (folder == "platform" and platform.is_file())


@pytest.mark.parametrize("name", sorted(set(re.findall(r"`(test_\w+)`", PAGE))))
def test_tests_of_the_page_exist(name):
    assert (ROOT / f"tests/{name}.py").is_file()


@pytest.mark.parametrize(
    ("number", "name"), sorted(set(re.findall(r"\b(7\d{3}) `(\w+)`", PAGE))), ids=str
)
def test_log_lines_of_the_page_exist(number, name):
    assert events.catalogue[int(number)].name == name


def test_page_names_each_folder_and_rule_module():
    for folder in FOLDERS:
        assert f"`{folder}/`" in PAGE


@pytest.mark.parametrize("name", list(modules()))
def test_module_says_what_it_is_for(name):
    text = ast.get_docstring(ast.parse((ROOT / name).read_text())) or ""
    told = "Owns:" in text and "Relies on:" in text
    assert text
    assert told is (name not in NOT_TOLD_YET)


# what belongs in commit messages and on the capacity page
STORY = re.compile(
    r"not measured|\bcommit [0-9a-f]{7}\b|\b[0-9a-f]{7}\)|\bissue \d|20\d\d-\d\d-\d\d|fleetbench"
)


@pytest.mark.parametrize("name", [name for name in modules() if not name.startswith("bench/")])
def test_module_tells_no_story_of_its_tuning(name):
    assert STORY.findall((ROOT / name).read_text(encoding="utf-8")) == []


def test_services_of_the_gateway_survive_their_tasks():
    """A service of the library ends all others with it when one of its tasks raises."""
    for path in sorted(GATEWAY.rglob("*.py")):
        source = path.read_text(encoding="utf-8")
        if path.name != "service.py":
            assert "mode.Service" not in source, path
            assert "Service.task" not in source, path
