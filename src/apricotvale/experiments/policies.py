"""Policies to compare: the `product` policy of apricotvale, variants of it, and baselines."""

from __future__ import annotations

from attrs import evolve, frozen


@frozen
class Policy:
    """A routing and admission policy.

    :param choice: how engines are chosen: `product` (by apricotvale's router), `random`,
        `round robin` or `least in flight`.
    :param reserve_percent: share of the slots that samples may not use.
    :param preempts: whether interactive requests preempt samples when no slot is free.
    :param priority: whether interactive requests have priority over samples.
    :param repeats: whether stragglers are repeated on another engine.
    :param affinity: whether requests with the same prompt prefer the same engine.
    :param idle_weight: weight of trainer idle time.
    :param staleness_weight: weight of sample staleness.
    """

    name: str
    choice: str = "product"
    reserve_percent: int = 0
    preempts: bool = True
    priority: bool = True
    repeats: bool = True
    affinity: bool = True
    idle_weight: int = 1
    staleness_weight: int = 0


PRODUCT = Policy("product")
BASELINE = Policy("", "", 0, False, False, False, False)

POLICIES = [
    PRODUCT,
    evolve(BASELINE, name="least in flight", choice="least in flight"),
    evolve(BASELINE, name="round robin", choice="round robin"),
    evolve(BASELINE, name="random", choice="random"),
    evolve(PRODUCT, name="reserve 25 %", reserve_percent=25),
    evolve(PRODUCT, name="idle 3, stale 1", idle_weight=3, staleness_weight=1),
    evolve(PRODUCT, name="idle 1, stale 3", idle_weight=1, staleness_weight=3),
    evolve(PRODUCT, name="no preemption", preempts=False),
    evolve(PRODUCT, name="no repeats", repeats=False),
    evolve(PRODUCT, name="no affinity", affinity=False),
]
