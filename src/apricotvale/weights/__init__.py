"""Weights: the replicated rollout of versions to engines."""
