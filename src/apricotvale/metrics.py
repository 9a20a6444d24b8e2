"""Metrics, sent by statsd. `docs/operators/metrics.md` lists them."""

from __future__ import annotations

import statsd

REQUESTS = "requests"
REFUSALS = "refusals"
RETRIES = "retries"
HEDGES = "hedges"
REQUEST_MS = "request_ms"
COMMITS = "commits"


class Metrics:
    """A statsd client, or nothing where no server is set."""

    def __init__(self, address: str, process: str) -> None:
        self.client: statsd.StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            self.client = statsd.StatsClient(host, int(port), prefix=f"apricotvale.{process}")

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        if self.client:
            self.client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self.client:
            self.client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Add a measured time."""
        if self.client:
            self.client.timing(name, milliseconds)
