"""Settings of the processes that serve a fleet of upstreams found by heartbeats."""

from __future__ import annotations

import tomllib
from pathlib import Path

from attrs import frozen

from apricotvale.exceptions import SettingsError
from apricotvale.settings.loader import Checker, Problem
from apricotvale.settings.schema import option


@frozen(kw_only=True)
class FleetSettings:
    """Settings of one process of a fleet."""

    name: str = option("name of the process's VM")
    site: str = option("failure domain of the process")
    ip: str = option("address of the VM, without a port")
    contacts: list[str] = option("interfaces of control replicas to begin with, host:port")
    founds: bool = option("whether the first group is being formed", False)
    internal_port: int = option("port for calls between processes", least=1)
    requests: str = option("address for callers, host:port; empty on control replicas", "")
    readiness: str = option("address for the readiness check, host:port", "")
    interface: str = option("address for operators and heartbeats, host:port", "")
    metrics: str = option("address on which metrics are served, host:port; empty is none", "")
    data_folder: str = option("folder for the durable state of a control replica", "")
    failures: int = option("control replicas that may be lost at the same time", 1, least=0)
    heartbeat_ms: int = option("time between two heartbeats of an upstream", 1_000, least=1)
    lease_ms: int = option("time after which another may give orders to an engine", 3_000, least=0)
    retention_s: float = option("how long a job can be read, from its submission", 120.0, least=0)
    stop_s: float = option("time that a process has to stop", 8.0, least=0)
    log_level: str = option("DEBUG, INFO, WARNING or ERROR", "INFO")

    @property
    def internal_address(self) -> str:
        """Return where other processes reach this one."""
        return f"{self.ip}:{self.internal_port}"

    def contact_addresses(self) -> list[str]:
        """Return where the control replicas to begin with are reached."""
        hosts = [contact.rpartition(":")[0] for contact in self.contacts]
        return [f"{host}:{self.internal_port}" for host in hosts]


def load_fleet(path: Path) -> FleetSettings:
    """Read a settings file; raise SettingsError with every problem found."""
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([Problem(str(path), "", str(error), "a TOML file")]) from error
    checker = Checker(str(path))
    settings = checker.build(FleetSettings, document, "")
    if checker.problems:
        raise SettingsError(checker.problems)
    return settings
