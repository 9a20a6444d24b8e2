"""Settings of fleet processes, which discover their upstreams by heartbeats."""

from __future__ import annotations

import tomllib
from pathlib import Path

from attrs import frozen

from apricotvale.exceptions import SettingsError
from apricotvale.jobs.room import JobLimits
from apricotvale.mechanisms import Mechanism
from apricotvale.settings.checker import Checker, Problem, option

METERING_DUTY = "metering"
BYTES_PER_MIB = 1024 * 1024


@frozen(kw_only=True)
class FleetSettings:
    """Settings of one fleet process."""

    name: str = option("name of the process's VM")
    site: str = option("failure domain of the process")
    ip: str = option("address of the VM, without a port")
    contacts: list[str] = option(
        "operator interfaces of the control replicas contacted first, host:port"
    )
    founds: bool = option("whether this replica may form the first replica group", False)
    internal_port: int = option("port for calls between processes", least=1)
    requests: str = option("address for client requests, host:port; empty on control replicas", "")
    readiness: str = option("address for the readiness check, host:port", "")
    interface: str = option("address for operators and upstream heartbeats, host:port", "")
    metrics: str = option("address of the metrics endpoint, host:port; empty disables it", "")
    data_folder: str = option("data folder of a control replica", "")
    failures: int = option("control replicas that may fail at the same time", 1, least=0)
    heartbeat_ms: int = option(
        "expected interval between heartbeats of an upstream", 1_000, least=1
    )
    lease_ms: int = option(
        "time a new leader waits for the former leader's lease to expire", 3_000, least=0
    )
    retention_s: float = option(
        "time for which a job can be read after its submission", 120.0, least=0
    )
    job_mb: int = option(
        "memory for jobs and their results at a control replica, in MiB; a job beyond it is "
        "rejected",
        64,
        least=1,
    )
    job_items: int = option(
        "items without a result in all jobs of a control group; a job beyond it is rejected, and a "
        "job with more than an eighth of it beyond its half",
        50_000,
        least=8,
    )
    memory_mb: float = option(
        "memory of the process's VM in MiB, of which it holds at most an eighth in heads of "
        "requests, and an entry at most a quarter in their bodies and answers; 0 if unknown, for "
        "no bound",
        0.0,
        least=0,
    )
    max_fds: int = option(
        "descriptors that the process may have open, of which two fifths are for connections that "
        "it accepts; 0 for the limit that the system states",
        0,
        least=0,
    )
    infrastructure: str = option(
        "address of the infrastructure for calls that one process makes, host:port; empty disables "
        "them",
        "",
    )
    infrastructure_duties: list[str] = option(
        "calls that the infrastructure asks for; `metering` asks for usage reports", list
    )
    usage_window_s: float = option("length of a window of usage reports", 5.0, least=0.1)
    usage_late_s: float = option(
        "time from the end of a window until its usage report is due", 10.0, least=0.2
    )
    stop_s: float = option("time limit of a graceful shutdown", 8.0, least=0)
    disabled: list[str] = option(
        "mechanisms that are switched off for a measurement; `apricotvale mechanisms` lists them",
        list,
    )
    log_level: str = option("DEBUG, INFO, WARNING or ERROR", "INFO")

    @property
    def job_limits(self) -> JobLimits:
        """Return the limits on the jobs that the control group holds."""
        return JobLimits(self.job_items, self.job_mb * BYTES_PER_MIB)

    @property
    def internal_address(self) -> str:
        """Return the address at which other processes reach this one, as host:port."""
        return f"{self.ip}:{self.internal_port}"

    @property
    def reports_usage(self) -> bool:
        """Return whether the deployment reports its usage to the infrastructure."""
        return bool(self.infrastructure) and METERING_DUTY in self.infrastructure_duties

    def contact_addresses(self) -> list[str]:
        """Return the internal addresses of the replicas in `contacts`.

        Each contact's port is replaced by `internal_port`, which all processes share.
        """
        hosts = [contact.rpartition(":")[0] for contact in self.contacts]
        return [f"{host}:{self.internal_port}" for host in hosts]


def load_fleet(path: Path) -> FleetSettings:
    """Load the settings of a fleet process.

    :raises SettingsError: if the file cannot be read or is invalid; lists every problem.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([Problem(str(path), "", str(error), "a readable TOML file")]) from error
    checker = Checker(str(path))
    settings = checker.build(FleetSettings, document, "")
    named = set(settings.disabled) if settings else set()
    unknown = sorted(named - {mechanism.value for mechanism in Mechanism})
    if unknown:
        known = "names of mechanisms"
        checker.problems.append(Problem(str(path), "disabled", ", ".join(unknown), known))
    if checker.problems:
        raise SettingsError(checker.problems)
    return settings
