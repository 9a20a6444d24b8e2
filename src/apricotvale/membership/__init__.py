"""Cluster membership: the replicated list of members and local views of it."""
