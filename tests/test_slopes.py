"""Slopes fitted to costs."""

import pytest
from bench.slopes import Slope
from bench.slopes import fit_line


def test_line_is_found():
    base, each = fit_line([1, 2, 4], [5.0, 7.0, 11.0])
    assert (base, each) == pytest.approx((3.0, 2.0))


def test_slope_is_the_median_of_the_runs_with_their_spread():
    slope = Slope.from_fits("x", "us", [1, 2, 4], [(1.0, 10.0), (3.0, 12.0), (2.0, 11.0)], "run")
    assert (slope.base, slope.each, slope.spread) == (2.0, 11.0, 2.0)
