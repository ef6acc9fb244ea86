"""Stand-ins of the platform, servers and clients for the review's scripts.

They use the standard library only and listen on loopback addresses.
"""
