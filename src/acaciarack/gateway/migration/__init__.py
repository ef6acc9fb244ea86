"""Moves running generations to other engines."""
