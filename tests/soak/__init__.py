"""Soak test of node processes with random faults: ``python -m tests.soak``."""
