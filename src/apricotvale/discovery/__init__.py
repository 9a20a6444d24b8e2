"""Service discovery: the registry of upstreams, which announce themselves by heartbeats."""

from apricotvale.discovery.late_heartbeats import LateHeartbeats
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
    "LateHeartbeats",
    "Origin",
    "Registry",
    "RegistryState",
    "RegistryView",
    "Standing",
    "Upstream",
    "UpstreamDelta",
]
