"""Settings of the selection of upstreams."""

from __future__ import annotations

from attrs import frozen

from apricotvale.settings.checker import option


@frozen(kw_only=True)
class Routing:
    """Selection of the upstream of a request."""

    subset: int = option(
        "upstreams of a pool or service to which one entry sends calls; 0 for all", 0, least=0
    )
    affinity_slack: int = option(
        "requests by which a prompt's preferred engine may exceed the load of the best one",
        2,
        least=0,
    )
    eject_failures: int = option(
        "consecutive failures after which an upstream is ejected", 3, least=1
    )
    eject_ms: int = option("duration of the first ejection of an upstream", 2_000, least=1)
    load_age_ms: int = option("age beyond which a load report is ignored", 2_000, least=1)
