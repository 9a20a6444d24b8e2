"""Policies to compare: the product's own, baselines, and the product's with one part off."""

from __future__ import annotations

from attrs import evolve, frozen


@frozen
class Policy:
    """What an experiment varies.

    :param choice: `product`, `random`, `round robin` or `least in flight`.
    :param reserve_percent: slots that samples may not use.
    :param preempts: whether interactive work stops samples when no slot is free.
    :param priority: whether waiting interactive work goes before samples.
    :param repeats: whether stragglers are repeated.
    :param affinity: whether prompts prefer an engine.
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
PLAIN = Policy("", "", 0, False, False, False, False)

POLICIES = [
    PRODUCT,
    evolve(PLAIN, name="least in flight", choice="least in flight"),
    evolve(PLAIN, name="round robin", choice="round robin"),
    evolve(PLAIN, name="random", choice="random"),
    evolve(PRODUCT, name="reserve 25 %", reserve_percent=25),
    evolve(PRODUCT, name="idle 3, stale 1", idle_weight=3, staleness_weight=1),
    evolve(PRODUCT, name="idle 1, stale 3", idle_weight=1, staleness_weight=3),
    evolve(PRODUCT, name="no preemption", preempts=False),
    evolve(PRODUCT, name="no repeats", repeats=False),
    evolve(PRODUCT, name="no affinity", affinity=False),
]
