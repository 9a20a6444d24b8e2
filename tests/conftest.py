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
