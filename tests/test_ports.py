"""Ports for processes that start later."""

from __future__ import annotations

import pytest

from scripts import demo, ports


def test_a_port_is_returned_once_although_its_server_has_not_started(monkeypatch):
    # Other servers may hold the first ports of the range.
    monkeypatch.setattr(ports, "FIRST_PORT", ports.free_port())
    numbers = iter([0, 0, 1])
    monkeypatch.setattr(ports.random, "randrange", lambda count: next(numbers))
    monkeypatch.setattr(ports, "used", set())
    assert ports.free_port() != ports.free_port()


def test_the_demo_takes_its_ports_from_there():
    assert demo.free_address is ports.free_address


def test_processes_that_run_at_the_same_time_have_ports_of_their_own(monkeypatch):
    shares = []
    for worker in range(3):
        monkeypatch.setattr(ports, "FIRST_PORT", 20_000)
        monkeypatch.setattr(ports, "PORT_COUNT", 12_000)
        ports.use_share(worker)
        shares.append(range(ports.FIRST_PORT, ports.FIRST_PORT + ports.PORT_COUNT))
    assert [(share[0], share[-1]) for share in shares] == [
        (20_000, 20_999),
        (21_000, 21_999),
        (22_000, 22_999),
    ]
    with pytest.raises(ValueError):
        ports.use_share(12)
