"""Benchmarks, run with ``bin/bench NAME``; each prints a closing line for every target."""
