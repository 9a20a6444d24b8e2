"""Settings: what a deployment and a process may state, and how files are checked."""

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
