"""Definitions of all settings, used to validate files and to generate the documentation."""

from __future__ import annotations

from enum import StrEnum

from attrs import frozen

from apricotvale.settings.checker import option
from apricotvale.settings.routing import Routing


class TrafficClass(StrEnum):
    """Traffic class of a request, from the highest to the lowest priority."""

    INTERACTIVE = "interactive"
    BACKGROUND = "background"
    SAMPLE = "sample"


class IslandPolicy(StrEnum):
    """Handling of requests by an entry that control has not confirmed within `lease_ms`."""

    SERVE = "serve"
    REFUSE = "refuse"


@frozen(kw_only=True)
class Pool:
    """A pool of model engines that serve the same models."""

    models: list[str] = option("models that every engine of the pool serves")
    replicas: int = option(
        "total number of engines expected in all failure domains", least=1, most=10_000
    )
    slots: int = option("requests an engine runs concurrently", 8, least=1, most=4096)


@frozen(kw_only=True)
class Route:
    """One route of a plain service."""

    path: str = option("path within the service, beginning with /; also matches paths below it")
    methods: list[str] = option("HTTP methods that the route accepts")
    idempotent: bool = option("whether a call with an unknown outcome may be retried")
    traffic_class: TrafficClass = option("interactive or background", TrafficClass.INTERACTIVE)
    timeout_ms: int = option("deadline of a call that sets none", 5_000, least=1)
    hedge_after_ms: int = option(
        "delay before an idempotent call is hedged on a second replica; 0 disables hedging",
        0,
        least=0,
    )


@frozen(kw_only=True)
class Service:
    """A plain service, which runs alongside the model engines."""

    replicas: int = option(
        "total number of replicas expected in all failure domains", least=1, most=10_000
    )
    routes: list[Route] = option("routes of the service")
    slots: int = option("calls a replica runs concurrently", 32, least=1, most=4096)


@frozen(kw_only=True)
class Trainer:
    """A trainer that requests samples from a pool."""

    pool: str = option("pool that generates the samples")
    model: str = option("model of the pool that the trainer trains")
    group_size: int = option("samples generated for each prompt", 1, least=1, most=1024)
    staleness_bound: int = option(
        "versions a sample may lag behind when it is delivered", 1, least=0
    )
    share: int = option(
        "weight of the trainer when several trainers share the pool's engines",
        1,
        least=1,
        most=1000,
    )
    whole_groups: bool = option("deliver a group only when all its samples are ready", False)
    scorer: str = option("service that scores the samples; empty for none", "")


@frozen(kw_only=True)
class Limits:
    """Limits on queues, retries, request sizes and durations."""

    interactive_reserve_percent: int = option(
        "share of an upstream's slots reserved for traffic other than samples", 0, least=0, most=90
    )
    queue_length: int = option("requests that may wait in the queue of a sidecar", 64, least=0)
    queue_ms: int = option(
        "longest wait in the queue of a sidecar; samples wait until their deadline", 1_000, least=0
    )
    retry_budget_percent: int = option("retry budget as a share of requests", 10, least=0, most=100)
    max_body_bytes: int = option("size of the largest request body", 4_194_304, least=1024)
    request_timeout_ms: int = option("deadline of a completion that sets none", 60_000, least=1)
    sample_timeout_ms: int = option(
        "deadline of one attempt to generate a sample", 120_000, least=1
    )
    drain_ms: int = option(
        "longest wait for requests in flight during a graceful shutdown", 20_000, least=0
    )


@frozen(kw_only=True)
class Weights:
    """Rollout of new weights to the engines."""

    floor_percent: int = option(
        "smallest share of a pool's engines that keep serving while others load",
        50,
        least=0,
        most=100,
    )
    loads_at_once: int = option("engines of a pool that may load concurrently", 2, least=1)
    load_timeout_ms: int = option("time after which a load counts as failed", 30_000, least=1)
    retry_ms: int = option(
        "delay before the first retry of a failed load; doubled for each further retry",
        1_000,
        least=1,
    )


@frozen(kw_only=True)
class Control:
    """Synchronization of processes with the control replicas."""

    lease_ms: int = option(
        "time without a sync after which a process counts as dead and its view as outdated",
        3_000,
        least=100,
    )
    sync_ms: int = option("longest interval between syncs of a process", 1_000, least=10)
    revision_grace_ms: int = option(
        "time for which a sidecar accepts requests of an older revision", 2_000, least=0
    )
    claim_window_ms: int = option(
        "time for which an idempotency key is kept", 86_400_000, least=1_000
    )
    claims: int = option("largest number of idempotency keys kept", 200_000, least=1)
    island: IslandPolicy = option(
        "handling of requests by an entry that control has not confirmed within `lease_ms`",
        IslandPolicy.SERVE,
    )


@frozen(kw_only=True)
class Objective:
    """Weights of the costs that the placement of samples minimizes."""

    idle_weight: int = option("weight of trainer idle time", 1, least=0, most=100)
    staleness_weight: int = option("weight of sample staleness", 1, least=0, most=100)


@frozen(kw_only=True)
class Deployment:
    """Settings of a deployment that are in effect at one site."""

    name: str = option("name of the deployment")
    region: str = option("region of the failure domains")
    failure_domains: list[str] = option("failure domains of the deployment; each one is a site")
    pools: dict[str, Pool] = option("pools of model engines", dict)
    services: dict[str, Service] = option("plain services", dict)
    trainers: dict[str, Trainer] = option("trainers", dict)
    limits: Limits = option("limits on queues, retries, request sizes and durations", Limits)
    routing: Routing = option("selection of the upstream of a request", Routing)
    weights: Weights = option("rollout of new weights to the engines", Weights)
    control: Control = option("synchronization of processes with the control replicas", Control)
    objective: Objective = option(
        "weights of the costs that the placement of samples minimizes", Objective
    )


@frozen(kw_only=True)
class Upstream:
    """The upstream that a sidecar serves."""

    address: str = option("address of the upstream, host:port")
    pool: str = option("pool of the model engine; empty for a plain service", "")
    service: str = option("plain service; empty for a model engine", "")
    checks_fencing: bool = option(
        "whether the engine refuses orders with an outdated fencing token", False
    )


@frozen(kw_only=True)
class ProcessSettings:
    """Settings of one process."""

    name: str = option("name of the process, unique in the deployment")
    site: str = option("failure domain of the process")
    listen: str = option("address to listen on, host:port")
    control: list[str] = option("addresses of the control replicas, host:port")
    advertise: str = option("address given to other processes; empty for that of `listen`", "")
    data_folder: str = option("data folder of a control replica", "")
    replicas: dict[str, str] = option("names and addresses of the control replicas", dict)
    upstream: Upstream | None = option("upstream that a sidecar serves", None)
    statsd: str = option("address of a statsd server, host:port; empty for none", "")
    log_format: str = option("json or text", "json")
    log_level: str = option("DEBUG, INFO, WARNING or ERROR", "INFO")
    health: str = option("address for /healthz and /readyz of a control replica", "")
