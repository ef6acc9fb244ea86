"""Real node processes under drawn faults: ``python -m tests.soak``."""
