"""Copies of the records in the platform's store."""
