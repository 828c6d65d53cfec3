"""Soaks: randomised runs of real processes with faults, which end with a verdict."""
