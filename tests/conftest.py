"""Shared fixtures, and the handling of the known failures in KNOWN-RED.txt."""

from __future__ import annotations

import gc
import os
from pathlib import Path

import pytest

from apricotvale import events
from scripts import ports
from tests.platform_site import Site

MAX_WORKERS = 5
# Tests of these files start processes of their own, or need a quiet machine for their time limits.
# They run one after the other in the same worker.
PROCESS_FILES = ("test_demo.py", "test_processes.py", "test_start_signals.py")

# Collections of the middle generation before a full one. Python's default is 10 at least.
COLLECTIONS_BEFORE_FULL_ONE = 50
NEVER = 2**31 - 1

PROGRAMMING_ERRORS = (TypeError, AttributeError, NameError, LookupError)

ROOT = Path(__file__).resolve().parent.parent


@pytest.fixture(autouse=True)
def quiet_log():
    events.configure("test", level="CRITICAL")


@pytest.fixture(autouse=True)
def no_programming_errors(caplog):
    """Fail a test in which a server or a task logged an error of the program itself.

    Guards against requests that always end in such an error, which a test takes for a refusal.
    """
    yield
    found = [
        (record.getMessage(), repr(record.exc_info[1]))
        for phase in ("setup", "call")
        for record in caplog.get_records(phase)
        if record.exc_info and isinstance(record.exc_info[1], PROGRAMMING_ERRORS)
    ]
    assert found == []


@pytest.fixture
async def site(tmp_path):
    """A deployment on the platform: control replicas, an entry, and upstreams that stay ready."""
    async with Site(tmp_path) as site:
        await site.wait_until_ready()
        site.keep_sending_heartbeats()
        yield site


@pytest.fixture
def examples():
    return ROOT / "examples"


@pytest.fixture
def docs():
    return ROOT / "docs"


def known_red():
    """Return the entries of KNOWN-RED.txt; an entry for a test starts with its node id."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return [line for line in lines if line and not line.startswith("#")]


def pytest_xdist_auto_num_workers(config):
    """Leave one core to the kernel and to the processes that tests start."""
    return max(1, min(MAX_WORKERS, (os.cpu_count() or 1) - 1))


def pytest_configure(config):
    worker = os.environ.get("PYTEST_XDIST_WORKER", "")
    if worker:
        ports.use_share(int(worker.removeprefix("gw")))


def pytest_collection_modifyitems(items):
    entries = {line.split()[0]: line for line in known_red()}
    for item in items:
        if item.path.name in PROCESS_FILES:
            item.add_marker(pytest.mark.xdist_group("processes"))
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(reason=entries[item.nodeid], strict=False))


def pytest_collection_finish():
    """Leave full garbage collections to the time between tests.

    A full collection takes as long as the shortest deadlines of the tests, 0.2 s.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*gc.get_threshold()[:2], NEVER)


def pytest_runtest_logfinish():
    if gc.get_count()[2] >= COLLECTIONS_BEFORE_FULL_ONE:
        gc.collect()


def pytest_terminal_summary(terminalreporter):
    for line in known_red():
        terminalreporter.write_line(f"known red: {line}")
