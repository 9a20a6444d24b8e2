"""Settings of deployments and processes: definitions, loading and validation."""

from apricotvale.settings.loader import (
    check_deployment,
    load_deployment,
    load_process,
    parse_deployment,
)
from apricotvale.settings.schema import Deployment, ProcessSettings, Route, TrafficClass

__all__ = [
    "Deployment",
    "ProcessSettings",
    "Route",
    "TrafficClass",
    "check_deployment",
    "load_deployment",
    "load_process",
    "parse_deployment",
]
