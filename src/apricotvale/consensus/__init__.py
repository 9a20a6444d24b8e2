"""Replicated log: election, replication, snapshots and change of the replica group."""
