"""How much an answer proves, how old what is known is, and whether a missing endpoint is gone."""

import pytest

from thorncleat_gateway.ports import proven_part


@pytest.mark.parametrize(
    ("wait", "took", "changed", "proven"),
    [
        (1.0, 1.0, False, 0.8),
        (1.0, 1.3, False, 0.8),
        (0.5, 0.5, False, 0.4),
        (1.0, 0.99, False, 0.0),
        (1.0, 0.0, False, 0.0),
        (1.0, 1.3, True, 0.0),
        (0.0, 0.01, False, 0.0),
    ],
    ids=[
        "waited in vain",
        "answered late",
        "a relay's shorter wait",
        "answered early without a change",
        "answered at once",
        "brought changes",
        "was not to wait",
    ],
)
def test_only_a_whole_wait_without_a_change_proves_more_than_its_beginning(
    wait, took, changed, proven
):
    assert proven_part(wait, took, changed=changed) == pytest.approx(proven)
