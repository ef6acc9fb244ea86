"""Stand-ins for targets and platform services, and experiment tools."""
