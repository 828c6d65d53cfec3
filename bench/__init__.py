"""Benchmarks: ``bin/bench NAME``. Each ends with a line for each of its targets."""
