"""Targets: their states, limits and failures, paths to them, and the choice."""
