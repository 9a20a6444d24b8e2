"""Requests: claims of non-idempotent ones, admission, routing and retries."""
