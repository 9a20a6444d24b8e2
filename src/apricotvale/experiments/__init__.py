"""Seeded experiments on the policy code over small fakes, with time as a parameter."""
