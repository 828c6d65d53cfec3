"""Nothing outside ``platform/`` and the stand-ins knows the platform's names."""

import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMES = re.compile(
    r"x-thorncleat|kv-(key|range|watch|txn|lease|keep)|thorncleat/(order|report|readyz)"
    r"|expected_rev|private_key|path_prefix|op/config|servers/|latency_target_ms|route_kind",
    re.IGNORECASE,
)
PRODUCT = ("core", "daemon", "client", "gateway")


def _sources():
    for package in PRODUCT:
        yield from (ROOT / "packages" / package / "src").rglob("*.py")


def test_platform_names_stay_in_the_adapter():
    found = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in _sources()
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if NAMES.search(line)
    ]
    assert found == []


def test_product_does_not_import_the_adapter():
    for path in _sources():
        assert "thorncleat_platform" not in path.read_text(), path


def test_adapter_is_small():
    adapter = sum(_lines(path) for path in (ROOT / "platform").rglob("*.py"))
    product = sum(_lines(path) for path in _sources())
    assert adapter < product / 10


def _lines(path):
    return sum(1 for line in path.read_text().splitlines() if line.strip())
