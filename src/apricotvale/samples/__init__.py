"""Samples: the replicated ledger of training steps and the policy that dispatches samples."""
