"""Docs and examples agree with the code."""

import json
import logging
import pathlib
import re

import pytest
from bench import capacity_page
from returns.result import Success

from thorncleat_core import jsonc
from thorncleat_core.daemon import plans
from thorncleat_core.daemon import settings
from thorncleat_core.daemon.configuration import Change
from thorncleat_core.daemon.fleet import Fleet
from thorncleat_core.daemon.journal import State
from thorncleat_core.log_events import Event
from thorncleat_daemon import events

from . import makers

ROOT = pathlib.Path(__file__).parent.parent
SITES = {"lima": ("fault-narrator", 50, 3), "riga": ("garden-assistant", 50, 3)}


class TestLogCatalogue:
    def test_docs_list_each_event_as_it_is(self):
        rows = re.findall(
            r"^\| (\d+) \| `(\w+)` \| (\w+) \| (.+?) \|$",
            (ROOT / "docs/LOGS.md").read_text(),
            re.MULTILINE,
        )
        listed = {int(number): (name, level, text) for number, name, level, text in rows}
        coded = {
            one.number: (one.name, logging.getLevelName(one.level).lower(), one.text)
            for one in events.catalogue.values()
        }
        assert listed == coded

    def test_each_event_is_used(self):
        source = "".join(
            one.read_text()
            for one in (ROOT / "packages/daemon/src/thorncleat_daemon").rglob("*.py")
        )
        for name, value in vars(events).items():
            if isinstance(value, Event):
                assert f"events.{name}.log(" in source, name


class TestExamples:
    @pytest.mark.parametrize("site", SITES)
    def test_settings_are_good(self, site):
        loaded = settings.load(ROOT / f"examples/{site}/settings.json")
        assert loaded.cluster == site

    @pytest.mark.parametrize("site", SITES)
    def test_intents_can_be_placed_as_the_brief_sizes_the_site(self, site):
        model, workers, service_endpoints = SITES[site]
        change = jsonc.validate(jsonc.read(ROOT / f"examples/{site}/intents.json"), Change)
        assert len(change.workspaces) == 10
        assert len(change.services[0].endpoints) == service_endpoints
        assert {one.model for one in change.intents} >= {model}
        fleet = Fleet.from_instances(
            makers.instance(f"{site}-{n:02}", f"fabric-{n % 3}", f"{site}-{n % 3 + 1}")
            for n in range(workers)
        )
        made = plans.make_plan(change, State(), fleet, set())
        assert isinstance(made, Success), made
        assert {step.domain for step in made.unwrap().steps} == {
            endpoint.fabric_domain for endpoint in fleet.endpoints()
        }

    def test_no_example_holds_a_key(self):
        text = "".join(one.read_text() for one in (ROOT / "examples").rglob("*.json"))
        assert "BEGIN" not in text


class TestTree:
    def test_no_registry_host_is_named(self):
        for name in ("constraints.txt", "bin/setup", "pyproject.toml"):
            assert "://" not in (ROOT / name).read_text()

    def test_slopes_are_recorded_with_their_command(self):
        recorded = json.loads((ROOT / "bench/slopes.json").read_text())
        assert all(one["command"].startswith("bin/bench ") for one in recorded.values())
        assert all(len(one["sizes"]) >= 3 for one in recorded.values() if one["sizes"])


class TestCapacityPage:
    def test_tables_are_computed_from_the_recorded_slopes(self):
        assert capacity_page.published_part() == capacity_page.computed_part().strip()
