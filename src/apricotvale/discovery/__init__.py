"""Service discovery: the registry of upstreams, which announce themselves by heartbeats."""

from apricotvale.discovery.registry import (
    Departed,
    Origin,
    Registry,
    RegistryState,
    RegistryView,
    Standing,
    Upstream,
    UpstreamDelta,
)

__all__ = [
    "Departed",
    "Origin",
    "Registry",
    "RegistryState",
    "RegistryView",
    "Standing",
    "Upstream",
    "UpstreamDelta",
]
