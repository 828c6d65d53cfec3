"""Guards against repeats that arrive long after they were sent, beside those of later.

Real gateways, and endpoints that signals stop. What was sent to a stopped endpoint waits in the
kernel and arrives when it goes on, though the attempt was given up and its connection reset.
"""

import pytest
from bench import stopped_endpoints
from bench.stopped_endpoints import Play
from bench.stopped_endpoints import Stop

# All endpoints stand still, and decline most of what they get as soon as they go on.
STOPPED = Play(
    "stopped",
    daemons=4,
    workers=4,
    rate=60,
    window=4.0,
    extra=60,
    stops=(Stop(2.0, 5.0),),
    declined_from=6.9,
    declined_share=0.8,
)


def _play(name, **changes):
    play = stopped_endpoints.with_changes(STOPPED, name=name, **changes)
    return pytest.param(play, id=name)


@pytest.mark.parametrize(
    "play",
    [
        _play("repeatable"),
        _play("streams", kind="streaming"),
        _play("gateways-killed-meanwhile", kills=(4.5,)),
    ],
)
async def test_repeats_that_waited_in_a_stopped_endpoint_keep_the_budget(play, tmp_path):
    verdict = await stopped_endpoints.play_one(play, tmp_path)
    assert verdict.ends[200] > 0
    assert verdict.repeats <= verdict.allowed, verdict
