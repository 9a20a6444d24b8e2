"""What an engine reports about its weights, and orders to load others."""

from __future__ import annotations

from enum import StrEnum

from attrs import frozen


class LoadMode(StrEnum):
    """What an engine does with its active runs when it loads a version.

    FINISH lets them end on the version they began with, CONTINUE moves them to the new version.
    """

    FINISH = "finish"
    CONTINUE = "continue"


class OrderOutcome(StrEnum):
    """Reply of an engine to a load order."""

    STARTED = "started"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    FENCED_OFF = "fenced_off"
    REJECTED = "rejected"


@frozen
class EngineReport:
    """State reported by an engine, several hundred milliseconds old.

    :param orders: number of orders accepted since the engine's start.
    :param busy: whether an order is in progress.
    :param born_ms: start of the engine as its heartbeats state it, 0 if the report states none.
    """

    orders: int
    busy: bool
    models: dict[str, int]
    born_ms: int = 0


@frozen
class LoadOrder:
    """An order to load a version.

    :param holder: name of the replica that issues the order.
    :param after_orders: precondition: the number of orders that the engine has accepted so far.
    """

    model: str
    version: int
    mode: LoadMode
    holder: str
    fencing_token: int
    after_orders: int
