"""Seeded experiments that run the policy code on simulated engines in virtual time."""
