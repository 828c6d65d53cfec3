"""The number of a term rises with each controller, even if the store's revisions went back."""

import pytest

from thorncleat_gateway.groups.term_number import EPOCHS_PER_TERM
from thorncleat_gateway.groups.term_number import term_number


@pytest.mark.parametrize(
    ("revision", "epochs", "numbers", "number"),
    [
        pytest.param(50, [], [], 50, id="nothing else is known"),
        pytest.param(
            50, [40 * EPOCHS_PER_TERM + 3], [], 50, id="an earlier term's group still exists"
        ),
        pytest.param(50, [60 * EPOCHS_PER_TERM + 3], [], 61, id="revisions went back"),
        pytest.param(50, [50 * EPOCHS_PER_TERM + 3], [], 51, id="back to the same one"),
        pytest.param(50, [], [70], 71, id="an earlier era reached a higher revision"),
        pytest.param(
            90, [60 * EPOCHS_PER_TERM + 3], [70], 90, id="the revision is above all of them"
        ),
    ],
)
def test_number(revision, epochs, numbers, number):
    assert term_number(revision, epochs, numbers) == number
