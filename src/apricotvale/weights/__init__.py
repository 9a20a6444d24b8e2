"""Rollout of weight versions to engines."""
