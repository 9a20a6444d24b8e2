"""The explain command reports the cause of a failure from the logs of all processes."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from apricotvale import events
from apricotvale.cli import cli


def log_line(at, kind, process="edge-1", **fields):
    return json.dumps({"at": at, "level": "INFO", "process": process, "name": kind.name, **fields})


REFUSED = [
    log_line(1.0, events.ROUTED, request="r-1", upstream="d-1@0"),
    log_line(1.2, events.REFUSED, request="r-1", reason="upstream_lost"),
    log_line(1.1, events.ATTEMPT_FAILED, request="r-1", upstream="d-1@0", reason="upstream_lost"),
    log_line(1.0, events.ROUTED, request="r-2", upstream="d-1@0"),
]
CASES = {
    "refused after failures": (REFUSED, "r-1", "refused (upstream_lost) after failed attempts"),
    "nothing known": (REFUSED, "r-3", "no process logged anything"),
    "nothing failed": (REFUSED, "r-2", "nothing failed"),
    "no attempt": (
        [log_line(1, events.REFUSED, request="r", reason="not_ready")],
        "r",
        "not_ready",
    ),
    "item cut": ([log_line(1, events.ITEM_CUT, item="i", why="stall")], "i", "its last run ended"),
    "caller disconnected": (
        [log_line(1, events.CANCELLED, request="r", why="caller disconnected")],
        "r",
        "cancelled: caller disconnected",
    ),
    "reward refused": (
        [
            log_line(0, events.REWARD_FAILED, item="i", request="s", errors=4, why=500),
            log_line(1, events.ITEM_LISTED, item="i", state="failed"),
        ],
        "i",
        "listed as failed: its reward call failed 4 times, the last with 500",
    ),
    "stopped": (
        [
            log_line(1, events.CRASH_FOUND, "edge-2", request="r-1", identity="x", upstream="d"),
            log_line(2, events.CRASH_FOUND, "edge-2", request="r-2", identity="y", upstream="d"),
            log_line(
                3,
                events.REQUEST_STOPPED,
                request="r",
                identity="x",
                crashes=[{"upstream": "d", "process": "edge-2", "request": "r-1", "at": 1.5}],
            ),
        ],
        "r",
        "d at 1970-01-01T00:00:01.500+00:00, seen by edge-2, submission r-1",
    ),
    "new leader": (
        [log_line(at, events.ITEM_PLACED, f"storage-{at}", item="i") for at in (1, 2)],
        "i",
        "run again after leadership moved: storage-1, then storage-2",
    ),
    "reward": (
        [
            log_line(1, events.REWARD_FAILED, item="i", request="s"),
            log_line(0, events.ATTEMPT_FAILED, request="s", upstream="d", reason="overloaded"),
        ],
        "i",
        "answered after 1 failed attempts, the last: overloaded",
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_cause_is_reported(tmp_path, case):
    lines, wanted, expected = CASES[case]
    path = tmp_path / "all.log"
    path.write_text("no log line\n  1.5 edge-1 " + "\n  1.5 edge-1 ".join(lines) + "\n{broken\n")
    result = CliRunner().invoke(cli, ["explain", wanted, str(path)])
    assert result.exit_code == 0 and expected in result.output


def test_lines_are_sorted_by_time(tmp_path):
    path = tmp_path / "all.log"
    path.write_text("\n".join(REFUSED))
    output = CliRunner().invoke(cli, ["explain", "r-1", str(path)]).output
    names = [name for name in ("routed", "attempt-failed", "refused") if name in output]
    assert sorted(names, key=output.index) == ["routed", "attempt-failed", "refused"]


def test_a_stopped_request_shows_the_crashes_of_its_other_submissions(tmp_path):
    """Guards against a refusal whose cause stands only in the logs of other processes."""
    path = tmp_path / "all.log"
    path.write_text("\n".join(CASES["stopped"][0]))
    output = CliRunner().invoke(cli, ["explain", "r", str(path)]).output
    assert "request=r-1" in output and "request=r-2" not in output
