"""Streams whose events have odd ids."""

from hypothesis import given
from hypothesis import strategies as st

from thorncleat_gateway.ports import ForwardMeta
from thorncleat_gateway.requests.event_stream import EventSplitter
from thorncleat_platform.headers import PlatformHeaders

from .odd_values import check_headers


@given(st.lists(st.binary(max_size=8).map(lambda text: b"id:" + text)))
def test_events_with_any_ids(events_fed):
    """Guards against an id that ends a stream, or that no header can hold when it resumes."""
    splitter = EventSplitter()
    for event in [
        *events_fed,
        b"id:\xb2",
        b"id:\xb3",
        b"id:" + b"9" * 5_000,
        b"id:" + b"8" * 5_000,
    ]:
        splitter.feed(event + b"\n\n")
        if splitter.last_id is not None:
            meta = ForwardMeta(1.0, "i-1", None, 0, splitter.last_id)
            check_headers(PlatformHeaders().for_endpoint([], meta))
