"""Soak test: random pairs of faults on the control operations, and long random histories, by seed.

`python -m tests.soak [SECONDS]` runs for that long and prints each failure.
"""

from __future__ import annotations

import itertools
import random
import sys
import time

from apricotvale import events
from tests.histories import ACTIONS, Recorder, find_violations
from tests.operations import OPERATIONS, RESULT_HELD, faults_for, run_with, steps_of

DEFAULT_DURATION_S = 600.0


def main():
    events.configure("soak", level="CRITICAL")
    until = time.monotonic() + float(sys.argv[1] if len(sys.argv) > 1 else DEFAULT_DURATION_S)
    singles = {
        name: [(at, f) for at, kind, _ in steps_of(op) for f in faults_for(kind)]
        for name, op in OPERATIONS.items()
    }
    runs = failed = 0
    for seed in itertools.count():
        if time.monotonic() > until:
            break
        rng = random.Random(seed)
        name = rng.choice(list(OPERATIONS))
        pair = sorted(rng.sample(singles[name], 2))
        result = run_with(OPERATIONS[name], pair)
        schedule = [rng.choice(ACTIONS) for _ in range(rng.randrange(20, 120))]
        violations = find_violations(Recorder(seed).run(schedule))
        runs += 2
        if result != RESULT_HELD or violations:
            failed += 1
            print(f"seed {seed}: {name} {pair}: {result}; history: {violations[:1]}")
    print(f"{runs} runs, {failed} failed")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
