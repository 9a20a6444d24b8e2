"""Shared fixtures."""

from __future__ import annotations

from pathlib import Path

import pytest

from apricotvale import events

ROOT = Path(__file__).resolve().parent.parent


@pytest.fixture(autouse=True)
def quiet_log():
    events.configure("test", level="CRITICAL")


@pytest.fixture
def examples():
    return ROOT / "examples"


@pytest.fixture
def docs():
    return ROOT / "docs"


def known_red():
    """Return the tests that KNOWN-RED.txt lists: lines that begin with a test's name."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {line.split()[0]: line for line in lines if line.startswith("tests/")}


def pytest_collection_modifyitems(items):
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason=red[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter):
    for line in known_red().values():
        terminalreporter.write_line(f"known red: {line}")
