"""Scenarios at the scale of users' deployments, varied by fault, load and engines."""

from __future__ import annotations

from attrs import evolve

from apricotvale.experiments.model import EngineModel
from apricotvale.experiments.run import Scenario

BASE = Scenario("5 engines")

SCENARIOS = [
    BASE,
    evolve(BASE, name="one engine lost", crash_at_s=8.0),
    evolve(BASE, name="one slow engine", slow_engines=1),
    evolve(BASE, name="weights swap", swaps=True),
    evolve(BASE, name="slow engine and swaps", slow_engines=1, swaps=True),
    evolve(BASE, name="many calls", calls_per_s=40.0),
    evolve(BASE, name="3 engines", model=EngineModel(engines=3)),
    evolve(BASE, name="12 engines, fast steps", model=EngineModel(engines=12, step_s=0.01)),
]
