"""Admission control while more requests arrive than the endpoints can serve in time."""
