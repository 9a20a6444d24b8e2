"""Request handling: admission, routing, retries, and claims of non-idempotent requests."""
