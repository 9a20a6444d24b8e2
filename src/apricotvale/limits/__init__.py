"""Limits on the requests that an upstream takes in a second from all processes together."""
