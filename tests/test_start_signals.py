"""Signals that reach a process of the deployment while it starts."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

import pytest

from scripts.ports import free_address, free_port

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20.0
# Imports take longer than this, so that some signals come before the handlers are installed.
SIGNAL_INTERVAL_S = 0.02


@pytest.fixture
def listener():
    return free_address()


@pytest.fixture(params=["entry", "control"])
def process(request, tmp_path, listener):
    """A process of the deployment that has just been started, with no other process to talk to."""
    settings = tmp_path / "settings.toml"
    own = {
        "entry": f'requests = "{free_address()}"\nreadiness = "{listener}"\n',
        "control": f'interface = "{listener}"\ndata_folder = "{tmp_path}/data"\n',
    }
    settings.write_text(
        f'name = "p"\nsite = "a"\nip = "127.0.0.1"\ncontacts = ["127.0.0.9:1"]\n'
        f"internal_port = {free_port()}\n" + own[request.param]
    )
    with open(tmp_path / "log", "wb") as log:
        process = subprocess.Popen(
            [sys.executable, "deploy/start.py", request.param],
            cwd=ROOT,
            env={**os.environ, "APRICOTVALE_BOOT": str(settings)},
            stdout=log,
        )
    yield process
    process.kill()
    process.wait()


def answers(address):
    """Return whether a server answers at an address."""
    try:
        urllib.request.urlopen(f"http://{address}/", timeout=1.0)
    except urllib.error.HTTPError:
        return True
    except OSError:
        return False
    return True


def runs_the_script(process):
    """Return whether a process imports packages; the interpreter itself cannot handle signals."""
    return "site-packages" in Path(f"/proc/{process.pid}/maps").read_text()


def test_a_reload_during_the_start_does_not_end_the_process(process, listener, tmp_path):
    """Guards against a process that ends by itself when its settings change as it starts."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while not runs_the_script(process):
        assert time.monotonic() < deadline
    while not answers(listener):
        assert time.monotonic() < deadline
        assert process.poll() is None
        process.send_signal(signal.SIGHUP)
        time.sleep(SIGNAL_INTERVAL_S)
    process.send_signal(signal.SIGTERM)
    assert process.wait(START_TIMEOUT_S) == 0
    assert '"reloaded"' in (tmp_path / "log").read_text()
