"""How much work targets have, and how much memory generations will need."""
