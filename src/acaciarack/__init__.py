"""Serves text generations of unknown length from crowded model engines."""
