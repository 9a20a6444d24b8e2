"""Samples: the replicated ledger of steps and the policy that dispatches them."""
