"""Code generated from operators.proto."""
