"""Invalid documents of the store: which of them are logged."""

from thorncleat_gateway import events
from thorncleat_gateway.store import bad_documents
from thorncleat_gateway.store.bad_documents import BadDocumentLog


def test_document_that_is_written_again_at_each_heartbeat_is_logged_once(monkeypatch):
    """Guards against a log that an odd entry fills."""
    lines = []
    monkeypatch.setattr(
        type(events.BAD_DOCUMENT), "log", lambda _, **fields: lines.append(tuple(fields.values()))
    )
    log = BadDocumentLog()
    for _ in range(3):
        log.record("servers/a", "no address")
    log.record("servers/a", "no service")
    log.forget("servers/a")
    log.record("servers/a", "no service")
    assert lines == [
        ("servers/a", "no address"),
        ("servers/a", "no service"),
        ("servers/a", "no service"),
    ]


def test_log_remembers_a_bounded_number_of_documents(monkeypatch):
    monkeypatch.setattr(bad_documents, "MAX_DOCUMENTS", 2)
    lines = []
    monkeypatch.setattr(
        type(events.BAD_DOCUMENT), "log", lambda _, key, **fields: lines.append(key)
    )
    log = BadDocumentLog()
    for key in ("a", "b", "c", "c", "a"):
        log.record(key, "odd")
    assert lines == ["a", "b", "c", "a"]
