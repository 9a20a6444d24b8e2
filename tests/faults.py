"""The table of docs/FAULTS.md: `python -m tests.faults > docs/FAULTS.md`."""

from __future__ import annotations

from collections import Counter

from apricotvale import events
from tests import claims, trainer
from tests.operations import OPERATIONS, RESULT_HELD, faults_for, run_with, steps_of

HEAD = """# Fault matrix

Made by `make faults`; CI compares it with a new run. Each cell is the number of steps of that
kind at which the fault was shown, and how many of these runs held. Operations of the control
replicas run over real nodes, storage and state machine on fake disks and a fake bus; claims and
samples over the real protocol code on fake sidecars.

Not covered here: the loops of the daemons themselves (tests/test_processes.py), the engine's
side of a weight swap, and pairs of faults, which tests run but this page does not list.
"""


def control_rows():
    """Yield (operation, step, fault, held) of the control replicas."""
    for name, operation in OPERATIONS.items():
        for at, kind, label in steps_of(operation):
            for fault in faults_for(kind):
                held = run_with(operation, [(at, fault)]) == RESULT_HELD
                yield name, f"{kind} {label}", fault, held


def claim_rows():
    """Yield (flow, step, fault, held) of claims."""
    for name in claims.FLOWS:
        labels = dict(claims.crossings(name))
        for at, fault in claims.single_faults(name):
            held = claims.run_flow(name, [(at, fault)])[1] == RESULT_HELD
            yield f"request, {name}", f"call to {labels[at]}", fault, held


def sample_rows():
    """Yield (operation, step, fault, held) of samples."""
    world, _ = trainer.run_step([])
    for at, fault in trainer.single_faults():
        held = trainer.run_step([(at, fault)])[1] == RESULT_HELD
        yield "sample, dispatch to acknowledgement", world.labels[at], fault, held


def page():
    """Return the page as Markdown."""
    events.configure("faults", level="CRITICAL")
    total: Counter = Counter()
    good: Counter = Counter()
    for rows in (control_rows(), claim_rows(), sample_rows()):
        for operation, step, fault, held in rows:
            total[operation, step, fault] += 1
            good[operation, step, fault] += held
    lines = [HEAD, "| operation | step | fault | steps | held |", "| --- | --- | --- | --- | --- |"]
    for (operation, step, fault), count in total.items():
        held = good[operation, step, fault]
        lines.append(f"| {operation} | {step} | {fault} | {count} | {held} |")
    lines.append(f"\n{sum(total.values())} runs, {sum(good.values())} held.")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(page(), end="")
