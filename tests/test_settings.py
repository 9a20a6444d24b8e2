"""Validation of settings files: all problems are reported together, with file, key and value."""

from __future__ import annotations

import pytest

from apricotvale.exceptions import SettingsError
from apricotvale.settings.loader import (
    check_deployment,
    load_deployment,
    load_process,
    parse_deployment,
)
from apricotvale.settings.pages import settings_page


def read_base(examples, name="tiszavolgyi"):
    return (examples / name / "base.toml").read_text()


def problems_of(base, overlays=None):
    with pytest.raises(SettingsError) as caught:
        check_deployment(base, overlays or {})
    return {(problem.key, problem.expected.split(" (")[0]) for problem in caught.value.problems}


@pytest.mark.parametrize("name", ["tiszavolgyi", "terugbel"])
def test_examples_are_valid(examples, name):
    folder = examples / name
    _, overlays = load_deployment(folder / "base.toml", list((folder / "overlays").glob("*.toml")))
    assert len(overlays) == 1


def test_overlay_changes_only_its_own_keys(examples):
    base = read_base(examples, "terugbel")
    overlay = (examples / "terugbel/overlays/gent-c.toml").read_text()
    deployment = parse_deployment(base, overlay, "gent-c")
    assert deployment.pools["lm-pool"].slots == 12
    assert deployment.pools["lm-pool"].models == ["call-summary", "callback-script"]
    assert parse_deployment(base, None, "gent-a").pools["lm-pool"].slots == 16


def test_all_problems_are_reported_at_once(examples):
    base = (
        read_base(examples)
        + "\n[limits]\nqueue_ms = -1\nqueue_lenght = 3\nretry_budget_percent = 'x'\n"
    )
    keys = {key for key, _ in problems_of(base)}
    assert keys == {"limits.queue_ms", "limits.queue_lenght", "limits.retry_budget_percent"}


@pytest.mark.parametrize(
    ("change", "key"),
    [
        (('pool = "drafter"', 'pool = "nowhere"'), "trainers.drafting.pool"),
        (('model = "permit-drafter"', 'model = "other"'), "trainers.drafting.model"),
        (('scorer = "draft-scorer"', 'scorer = "none"'), "trainers.drafting.scorer"),
        (
            ("hedge_after_ms = 250", "hedge_after_ms = 9000"),
            "services.permit-desk.routes[0].hedge_after_ms",
        ),
        (('path = "/permits"', 'path = "permits"'), "services.permit-desk.routes[2].path"),
        (("replicas = 5", "replicas = 0"), "pools.drafter.replicas"),
        (("replicas = 5", "replicas = true"), "pools.drafter.replicas"),
        (
            ('traffic_class = "background"', 'traffic_class = "loud"'),
            "services.permit-desk.routes[1].traffic_class",
        ),
    ],
)
def test_invalid_value_is_reported_with_its_key(examples, change, key):
    assert key in {found for found, _ in problems_of(read_base(examples).replace(*change))}


@pytest.mark.parametrize(
    ("overlay", "key"),
    [
        ("site = 'szeged'\n[pools.other]\nslots = 3\n", "pools.other"),
        ("site = 'szeged'\nname = 'x'\n", "name"),
        ("site = 'kecskemet'\n", "site"),
        ("site = 'szeged'\n[limits]\nunknown = 1\n", "limits.unknown"),
    ],
)
def test_invalid_overlay_is_reported_with_its_key(examples, overlay, key):
    assert key in {found for found, _ in problems_of(read_base(examples), {"szeged": overlay})}


def test_invalid_toml_is_reported_with_its_file(tmp_path):
    path = tmp_path / "broken.toml"
    path.write_text("name = [")
    with pytest.raises(SettingsError) as caught:
        load_process(path)
    assert str(path) in caught.value.format_message()


def test_process_settings_are_checked(tmp_path):
    path = tmp_path / "entry.toml"
    path.write_text("name = 'e'\nsite = 's'\nlisten = 'nowhere'\ncontrol = []\nlog_format = 'x'\n")
    with pytest.raises(SettingsError) as caught:
        load_process(path)
    assert {problem.key for problem in caught.value.problems} == {"listen", "log_format"}


def test_settings_page_is_current(docs):
    assert (docs / "settings.md").read_text() == settings_page()
