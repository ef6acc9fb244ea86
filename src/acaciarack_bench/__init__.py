"""Stand-ins for targets and the platform, load and experiment tools."""
