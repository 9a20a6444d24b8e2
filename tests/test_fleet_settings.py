"""Loading, validation and reloading of the settings of fleet processes."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal

import pytest

from apricotvale.daemons.runtime import install_reload_handler
from apricotvale.exceptions import SettingsError
from apricotvale.platform import start
from apricotvale.settings.fleet import load_fleet

VALID_SETTINGS = """
name = "edge-1"
site = "szeged"
ip = "127.0.0.1"
contacts = ["127.0.0.2:8166", "127.0.0.3:8166"]
founds = true
internal_port = 7720
requests = "127.0.0.1:8161"
retention_s = 120
stop_s = 8.5
"""


@pytest.fixture
def settings_file(tmp_path, monkeypatch):
    path = tmp_path / "local.toml"
    path.write_text(VALID_SETTINGS)
    monkeypatch.setenv(start.SETTINGS_VARIABLE, str(path))
    return path


def test_settings_are_read(settings_file):
    settings = load_fleet(settings_file)
    assert settings.internal_address == "127.0.0.1:7720"
    assert settings.contact_addresses() == ["127.0.0.2:7720", "127.0.0.3:7720"]
    assert (settings.retention_s, settings.stop_s) == (120.0, 8.5)
    assert not settings.reports_usage


@pytest.mark.parametrize(("stated", "system", "expected"), [(100, 300, 40), (300, 100, 40)])
def test_connections_are_bounded_by_the_fewer_descriptors(
    settings_file, monkeypatch, stated, system, expected
):
    settings_file.write_text(f"{VALID_SETTINGS}max_fds = {stated}\nmemory_mb = 160\n")
    monkeypatch.setattr(resource, "getrlimit", lambda kind: (system, system))
    bounds = start.process_bounds(load_fleet(settings_file))
    assert bounds.max_connections == expected
    assert bounds.held.limit == 2 * bounds.heads.limit == 40 * 1024 * 1024


@pytest.mark.parametrize(
    ("address", "duties", "expected"),
    [("127.0.0.9:80", ["metering"], True), ("", ["metering"], False), ("127.0.0.9:80", [], False)],
)
def test_usage_is_reported_only_with_an_address_and_its_duty(
    settings_file, address, duties, expected
):
    lines = [
        f'infrastructure = "{address}"',
        f"infrastructure_duties = {json.dumps(duties)}",
        "usage_window_s = 5",
        "usage_late_s = 10",
    ]
    settings_file.write_text("\n".join([VALID_SETTINGS, *lines]))
    assert load_fleet(settings_file).reports_usage is expected


@pytest.mark.parametrize(
    ("change", "key"),
    [
        (("internal_port = 7720", 'internal_port = "x"'), "internal_port"),
        (("internal_port = 7720", "internal_port = 0"), "internal_port"),
        (('site = "szeged"', ""), "site"),
        (("stop_s = 8.5", "stop_s = -0.5"), "stop_s"),
        (("retention_s = 120", "retention_s = nan"), "retention_s"),
        (("founds = true", "founds = true\nfound = 1"), "found"),
    ],
)
def test_invalid_setting_is_reported_with_its_key(settings_file, change, key):
    settings_file.write_text(VALID_SETTINGS.replace(*change))
    with pytest.raises(SettingsError) as caught:
        load_fleet(settings_file)
    assert key in caught.value.format_message()


async def test_sighup_reloads_settings_without_stopping_the_process(settings_file):
    applied = []
    install_reload_handler(lambda: start.reload(applied.append))
    settings_file.write_text(VALID_SETTINGS.replace("127.0.0.3", "127.0.0.4"))
    os.kill(os.getpid(), signal.SIGHUP)
    await asyncio.sleep(0.05)
    assert [settings.contacts[1] for settings in applied] == ["127.0.0.4:8166"]


def test_invalid_settings_are_not_applied_on_reload(settings_file):
    applied = []
    settings_file.write_text("name = 3")
    start.reload(applied.append)
    assert applied == []
