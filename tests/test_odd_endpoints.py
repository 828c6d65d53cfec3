"""Endpoints with addresses that nothing can connect to, beside sound ones."""

import pytest

from thorncleat_gateway import events

from . import recording
from .recording import Answer
from .test_forms_refusals import EVENTS
from .test_forms_refusals import PATHS
from .test_forms_refusals import STAMP
from .test_forms_refusals import call
from .test_forms_refusals import configuration
from .test_forms_refusals import desk
from .test_forms_refusals import leader
from .test_forms_refusals import site

REQUESTS = 6
ODD_ADDRESSES = {
    "long label": f"{'a' * 64}.example:8080",
    "empty label": "...:8080",
    "bracket": "[::1:8080",
    "no host": ":8080",
    "space": "a b:8080",
    "line break": "a\nb:8080",
    "no port": "127.0.0.1:",
    "large port": "127.0.0.1:70000",
}


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("odd", ODD_ADDRESSES)
async def test_requests_are_served_by_the_sound_endpoint(odd, kind):
    """Guards against attempts that fail before they are connected and count as run, or end in 500.

    The decoder leaves such entries out; this is what holds if one has passed it.
    """
    address = ODD_ADDRESSES[odd]
    async with recording.recorder() as server:
        server.answers = [Answer(body=EVENTS, headers=STAMP) for _ in range(REQUESTS)]
        changes = [configuration(), desk(server.address), leader(server.address)]
        changes += [desk(address, 2), leader(address, 2)]
        async with site(changes) as daemon:
            for _ in range(REQUESTS):
                answer = await call(daemon, PATHS[kind])
                assert (answer["status"], answer["whole"]) == (200, True)


async def test_fault_of_the_gateway_is_answered_and_logged(monkeypatch):
    """Guards against a request that ends in 500 without a log line."""
    lines = []
    monkeypatch.setattr(
        type(events.TASK_FAILED), "log", lambda event, **fields: lines.append((event.name, fields))
    )
    changes = [configuration(), desk("127.0.0.1:9")]
    async with site(changes) as daemon:
        monkeypatch.setattr(
            "thorncleat_gateway.requests.admission.admit", lambda *_, **__: [].pop()
        )
        answer = await call(daemon, PATHS["once"])
        assert answer["status"] == 500
    assert [
        (fields["task"], fields["request"]) for name, fields in lines if fields.get("task")
    ] == [("request", "r1")]
    assert [fields["cause"] for name, fields in lines if name == "request_refused"] == [
        "internal error"
    ]
