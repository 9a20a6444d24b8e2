"""Requests that end the upstreams that run them: how they are known, found and stopped."""
