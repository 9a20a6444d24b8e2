"""Definitions of all settings. The loader checks files against them and docs are made from them."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

from attrs import field, frozen


class TrafficClass(StrEnum):
    """What kind of caller a request serves, in falling order of priority."""

    INTERACTIVE = "interactive"
    BACKGROUND = "background"
    SAMPLE = "sample"


class IslandPolicy(StrEnum):
    """What a process does with interactive traffic once its freshness lease has run out."""

    SERVE = "serve"
    REFUSE = "refuse"


def option(
    summary: str, default: Any = ..., least: float | None = None, most: float | None = None
) -> Any:
    """Return an attrs field that carries its documentation and its bounds."""
    metadata = {"summary": summary, "least": least, "most": most}
    if default is ...:
        return field(metadata=metadata)
    if isinstance(default, type):
        return field(factory=default, metadata=metadata)
    return field(default=default, metadata=metadata)


@frozen(kw_only=True)
class Pool:
    """Model engines that serve the same models."""

    models: list[str] = option("models that every engine of the pool serves")
    replicas: int = option("engines expected in all failure domains", least=1, most=10_000)
    slots: int = option("requests an engine runs at once", 8, least=1, most=4096)


@frozen(kw_only=True)
class Route:
    """One route of a plain service."""

    path: str = option("path below the service, beginning with /")
    methods: list[str] = option("HTTP methods the route takes")
    idempotent: bool = option("whether a call may be sent again after an unknown outcome")
    traffic_class: TrafficClass = option("interactive or background", TrafficClass.INTERACTIVE)
    timeout_ms: int = option("deadline of a call that brings none", 5_000, least=1)
    hedge_after_ms: int = option(
        "send an idempotent call to a second replica after this time; 0 is never", 0, least=0
    )


@frozen(kw_only=True)
class Service:
    """A plain service beside the model engines."""

    replicas: int = option("replicas expected in all failure domains", least=1, most=10_000)
    routes: list[Route] = option("routes of the service")
    slots: int = option("calls a replica runs at once", 32, least=1, most=4096)


@frozen(kw_only=True)
class Trainer:
    """A trainer that draws samples from a pool."""

    pool: str = option("pool that generates the samples")
    model: str = option("model of the pool that the trainer trains")
    group_size: int = option("samples drawn for each prompt", 1, least=1, most=1024)
    staleness_bound: int = option("versions a sample may be behind at hand-over", 1, least=0)
    share: int = option("weight of the trainer when engines are short", 1, least=1, most=1000)
    whole_groups: bool = option("hand over a group only when all of it is ready", False)
    scorer: str = option("service that scores the samples; empty is none", "")


@frozen(kw_only=True)
class Limits:
    """Bounds on what the system takes on."""

    interactive_reserve_percent: int = option(
        "share of an upstream's slots that samples may not use", 0, least=0, most=90
    )
    queue_length: int = option("requests that wait at one sidecar", 64, least=0)
    queue_ms: int = option("longest wait at one sidecar", 1_000, least=0)
    retry_budget_percent: int = option("retries as a share of requests", 10, least=0, most=100)
    max_body_bytes: int = option("longest request body", 4_194_304, least=1024)
    request_timeout_ms: int = option("deadline of a completion that brings none", 60_000, least=1)
    sample_timeout_ms: int = option("deadline of one sample's generation", 120_000, least=1)
    drain_ms: int = option("longest graceful shutdown", 20_000, least=0)


@frozen(kw_only=True)
class Routing:
    """How an upstream is chosen."""

    subset: int = option("upstreams of a pool that one entry uses; 0 is all", 0, least=0)
    affinity_slack: int = option(
        "requests by which a prompt's preferred engine may be busier than the best", 2, least=0
    )
    eject_failures: int = option("failures in a row that eject an upstream", 3, least=1)
    eject_ms: int = option("time for which an upstream is ejected at first", 2_000, least=1)
    load_age_ms: int = option("age at which a load report is no longer used", 2_000, least=1)


@frozen(kw_only=True)
class Weights:
    """How new weights reach the engines."""

    floor_percent: int = option(
        "share of a pool's engines that serve while others load", 50, least=0, most=100
    )
    loads_at_once: int = option("engines that load from the store at once", 2, least=1)
    load_timeout_ms: int = option("time after which a load has failed", 30_000, least=1)
    retry_ms: int = option("wait before a failed load is tried again", 1_000, least=1)


@frozen(kw_only=True)
class Control:
    """How processes keep in step with the control replicas."""

    lease_ms: int = option("time after which a silent process is taken for dead", 3_000, least=100)
    sync_ms: int = option("longest time between two syncs of a process", 1_000, least=10)
    revision_grace_ms: int = option(
        "time for which a sidecar takes requests of an older revision", 2_000, least=0
    )
    claim_window_ms: int = option(
        "time for which an idempotency key is remembered", 86_400_000, least=1_000
    )
    claims: int = option("idempotency keys remembered at most", 200_000, least=1)
    island: IslandPolicy = option(
        "interactive traffic of a process cut off from control", IslandPolicy.SERVE
    )


@frozen(kw_only=True)
class Objective:
    """What a trainer's step is tuned for."""

    idle_weight: int = option("weight of trainer idle time", 1, least=0, most=100)
    staleness_weight: int = option("weight of sample staleness", 1, least=0, most=100)


@frozen(kw_only=True)
class Deployment:
    """A rollout deployment, as one site sees it."""

    name: str = option("name of the deployment")
    region: str = option("region of the failure domains")
    failure_domains: list[str] = option("failure domains, which are also the sites")
    pools: dict[str, Pool] = option("pools of model engines", dict)
    services: dict[str, Service] = option("plain services", dict)
    trainers: dict[str, Trainer] = option("trainers", dict)
    limits: Limits = option("bounds on what the system takes on", Limits)
    routing: Routing = option("how an upstream is chosen", Routing)
    weights: Weights = option("how new weights reach the engines", Weights)
    control: Control = option("how processes keep in step", Control)
    objective: Objective = option("what a step is tuned for", Objective)


@frozen(kw_only=True)
class Upstream:
    """The upstream beside a sidecar."""

    address: str = option("address of the upstream, host:port")
    pool: str = option("pool of the model engine; empty for a plain service", "")
    service: str = option("plain service; empty for a model engine", "")
    checks_fencing: bool = option("whether the engine refuses orders with an old number", False)


@frozen(kw_only=True)
class ProcessSettings:
    """Settings of one process."""

    name: str = option("name of the process, unique in the deployment")
    site: str = option("failure domain of the process")
    listen: str = option("address to listen on, host:port")
    control: list[str] = option("addresses of the control replicas, host:port")
    advertise: str = option("address that others use; empty is the one listened on", "")
    data_folder: str = option("folder for the durable state of a control replica", "")
    replicas: dict[str, str] = option("names and addresses of the control replicas", dict)
    upstream: Upstream | None = option("upstream beside a sidecar", None)
    statsd: str = option("address of a statsd server, host:port; empty is none", "")
    log_format: str = option("json or text", "json")
    log_level: str = option("DEBUG, INFO, WARNING or ERROR", "INFO")
    health: str = option("address for /healthz and /readyz of a control replica", "")
