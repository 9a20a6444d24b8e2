"""Raft consensus: leader election, log replication, snapshots and group membership changes."""
