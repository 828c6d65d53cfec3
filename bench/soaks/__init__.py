"""Soak tests: randomised runs of real processes under injected faults."""
