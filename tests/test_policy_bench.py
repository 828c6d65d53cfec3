"""Plans, constants and paired differences of the policy benchmark, and the list of losses."""

import json

import pytest
from bench import losses
from bench import paired
from bench import policy

PLAN = """
// a comment
{"why": "w", "variants": {"a": {"ref": "HEAD"}}, "plays": [{"site": "s/x.toml", "day": "quiet-1"}]}
"""


def test_plan_with_comments_is_read(tmp_path):
    (tmp_path / "plan.json").write_text(PLAN)
    plan = policy.read_plan(tmp_path / "plan.json")
    assert [play.name for play in plan.plays] == ["x quiet-1 own seed"]


@pytest.mark.parametrize(
    ("text", "names"),
    [
        pytest.param("{", "plan.json", id="not JSON"),
        pytest.param('{"why": "w", "plays": []}', "variants", id="no variants"),
        pytest.param(PLAN.replace('"ref"', '"rev"'), "rev", id="unknown key"),
        pytest.param(PLAN.replace('"quiet-1"', "1"), "day", id="wrong type"),
    ],
)
def test_error_names_the_fault_of_a_plan(text, names, tmp_path):
    (tmp_path / "plan.json").write_text(text)
    with pytest.raises(policy.PolicyError, match=names):
        policy.read_plan(tmp_path / "plan.json")


@pytest.fixture
def tree(tmp_path):
    package = tmp_path / "packages/gateway/src/thorncleat_gateway"
    package.mkdir(parents=True)
    (package / "rule.py").write_text("# why\nLIMIT = 3.0\nTWICE = 1\nTWICE = 2\n")
    (package / "settings.py").write_text("class A:\n    watch: float = 0.4\n")
    return tmp_path


@pytest.mark.parametrize(
    ("name", "file", "line"),
    [
        pytest.param("thorncleat_gateway.rule.LIMIT", "rule.py", "LIMIT = 9", id="constant"),
        pytest.param(
            "thorncleat_gateway.settings.watch", "settings.py", "    watch: float = 9", id="field"
        ),
    ],
)
def test_constant_is_changed(tree, name, file, line):
    policy.set_constant(tree, name, "9")
    found = tree / "packages/gateway/src/thorncleat_gateway" / file
    assert line in found.read_text().splitlines()


@pytest.mark.parametrize(
    ("name", "named"),
    [
        pytest.param("thorncleat_gateway.none.LIMIT", "none", id="no such module"),
        pytest.param("thorncleat_gateway.rule.OTHER", "OTHER", id="no such name"),
        pytest.param("thorncleat_gateway.rule.TWICE", "TWICE", id="set twice"),
    ],
)
def test_error_names_the_unknown_constant(tree, name, named):
    with pytest.raises(policy.PolicyError, match=named):
        policy.set_constant(tree, name, "9")


def test_differences_are_paired():
    found = paired.difference([(1.0, 1.5), (2.0, 2.7)])
    assert found.mean == pytest.approx(0.6)
    assert found.error == pytest.approx(0.1)


def test_table_shows_missing_plays_and_broken_rules():
    entry = {
        "days": [
            {
                "G": 0.8,
                "served": 0.9,
                "refused": 0.0,
                "failed": 0.01,
                "parts": [["whole day", 0.7, 0.9], ["worst windows", 0.15, 0.5]],
                "prices": [["machines", 3, 0.02], ["bytes", 1, 0.01]],
                "rules": {"TWO": 1},
            }
        ]
    }
    figures = paired.figures(entry)
    text = paired.table("t", ["p", "q"], {"a": {"p": figures}, "b": {"p": figures, "q": figures}})
    assert "| p | 0.800 (0.50; 0.030) **TWO** |" in text
    assert "| q | missing |" in text
    assert "- b less a, worth: +0.0000, standard error nan, 1 pairs" in text


def _line(at, event, **fields):
    return f"{at:9.4f} edge-1 {json.dumps({'event': event, **fields})}"


def test_each_loss_is_counted_once_under_its_cause(tmp_path):
    (tmp_path / "day.txt").write_text(
        "\n".join(
            [
                "built in 0.1 s",
                _line(1.0, losses.FAILED, request="r1", cause="no answer in 0.350 s"),
                _line(1.1, losses.DONE, request="r1", late="pause"),
                _line(1.2, losses.DONE, request="r2", late=None),
                _line(1.3, losses.REFUSED, request="r3", cause="no route"),
                _line(1.4, losses.REFUSED, request="r4", cause="no group for 'm': 2 open"),
                _line(1.5, losses.CUT, request="r5", cause="answer cut: X"),
            ]
        )
    )
    found = losses.find_losses(losses.read(tmp_path / "day.txt"))
    assert [loss.cause for loss in found] == [
        "late pause: no answer in # s",
        "refused: no group for #: # open",
        "cut: answer cut: X",
    ]


def test_groups_are_followed_from_loss_to_replacement():
    lines = [
        losses.Line(2.0, "d", losses.SUSPECTED, {"group": "g1"}),
        losses.Line(2.3, "d", losses.ENDED, {"group": "g1", "cause": "member unreachable"}),
        losses.Line(2.4, "d", losses.DETACHED, {"group": "g1", "how": "left"}),
        losses.Line(2.5, "d", losses.FORMING, {"group": "g2", "model": "m"}),
        losses.Line(2.9, "d", losses.OPENED, {"group": "g2", "model": "m"}),
    ]
    assert losses.group_rows(lines) == [
        "    2.30 g1 ended: member unreachable, 0.30 s after a suspicion",
        "    2.40 g1 over: left",
        "    2.50 g2 forming: m",
        "    2.90 g2 open: m",
    ]
