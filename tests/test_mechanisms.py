"""The switches of the policy's mechanisms."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from apricotvale import mechanisms
from apricotvale.cli import cli
from apricotvale.codec import encode, pack
from apricotvale.exceptions import SettingsError
from apricotvale.fleet import commands as c
from apricotvale.jobs import ItemState, Result
from apricotvale.jobs.placement import EngineUsage, SpeedRange, speed_range
from apricotvale.mechanisms import PURPOSES, Mechanism, is_on
from apricotvale.requests.forwarding import ForwardedRequest
from apricotvale.routes import Backend, Route, RouteKind
from apricotvale.settings.fleet import load_fleet
from tests.test_fleet_settings import VALID_SETTINGS

ROUTE = Route(
    "r", "h", "/", RouteKind.SAFE, (Backend("s", 1),), 1000.0, objective_ms=200.0, max_attempts=3
)


@pytest.fixture
def disable():
    yield lambda *names: mechanisms.disable([name.value for name in names])
    mechanisms.disable([])


def test_each_mechanism_has_a_purpose_and_is_on_by_default():
    assert set(PURPOSES) == set(Mechanism)
    assert all(is_on(mechanism) for mechanism in Mechanism)


def test_an_unknown_name_changes_nothing(disable):
    disable(Mechanism.HEDGING)
    with pytest.raises(ValueError):
        mechanisms.disable(["ejection", "no-such"])
    assert not is_on(Mechanism.HEDGING) and is_on(Mechanism.EJECTION)


def test_settings_name_the_mechanisms_that_are_off(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text('disabled = ["hedging"]\n' + VALID_SETTINGS)
    assert load_fleet(path).disabled == ["hedging"]
    path.write_text('disabled = ["hedging", "no-such"]\n' + VALID_SETTINGS)
    with pytest.raises(SettingsError) as raised:
        load_fleet(path)
    assert "no-such" in raised.value.format_message()


def test_the_command_lists_all_mechanisms():
    lines = CliRunner().invoke(cli, ["mechanisms"]).output.splitlines()
    assert [line.split()[0] for line in lines] == [mechanism.value for mechanism in PURPOSES]


def test_without_hedging_a_request_has_one_copy_at_a_time(disable):
    request = ForwardedRequest(ROUTE, 10.0)
    request.begin("u-1", 0.0)
    assert request.may_send(0.2)
    disable(Mechanism.HEDGING)
    assert not request.may_send(0.2)


def test_without_engine_speeds_all_engines_count_as_equal(disable):
    usages = {"e-1": EngineUsage(), "e-2": EngineUsage()}
    for number, usage in enumerate(usages.values()):
        for at in range(20):
            usage.pace.add(0.01 * (1 + 3 * number), 1, 1, float(at))
    assert not speed_range(usages).is_even
    disable(Mechanism.ENGINE_SPEEDS)
    assert speed_range(usages) == SpeedRange()


def test_without_compression_a_command_is_sent_as_it_is(disable):
    command = c.ListResult("j-1", Result("i-1", ItemState.COMPLETED, b"text" * 1000))
    disable(Mechanism.COMPRESSION)
    assert pack(command, c.Command) == encode(command, c.Command)
