"""Serves callers' requests: reading, routing, plain calls and generations."""
