"""The test suite itself: full garbage collections, which take 0.2 s, run between tests."""

from __future__ import annotations

import gc

# More objects than a full collection waits for by default.
OBJECTS = 400_000


def test_no_full_collection_runs_inside_a_test():
    before = gc.get_stats()[2]["collections"]
    kept = [[] for _ in range(OBJECTS)]
    assert gc.get_stats()[2]["collections"] == before
    assert len(kept) == OBJECTS
