import os
import random

import hypothesis
import pytest

# the same verdict on every run: examples are derived from the tests themselves
hypothesis.settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))


@pytest.fixture(autouse=True)
def _fixed_random():
    random.seed(1)
