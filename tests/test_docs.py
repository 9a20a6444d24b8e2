"""Generated pages are up to date, and the documentation names only existing commands."""

from __future__ import annotations

import re

from click.testing import CliRunner

from apricotvale import events
from apricotvale.cli import cli
from tests.faults import page


def test_event_catalogue_is_current(docs):
    assert (docs / "events.md").read_text() == events.catalogue_page()


def test_every_event_is_used(docs):
    source = "".join(path.read_text() for path in (docs.parent / "src").rglob("*.py"))
    names = re.findall(r"^(\w+) = event\(", source, re.MULTILINE)
    assert [name for name in names if f"events.{name}" not in source] == []


def test_fault_page_is_current(docs):
    assert (docs / "FAULTS.md").read_text() == page()


def test_docs_name_only_existing_commands(docs):
    runner = CliRunner()
    for path in sorted(docs.rglob("*.md")):
        for line in re.findall(r"^apricotvale ([a-z ]+)", path.read_text(), re.MULTILINE):
            words = line.split()
            group = cli.commands.get(words[0])
            assert group is not None, f"{path}: {line}"
            if hasattr(group, "commands"):
                assert words[1] in group.commands, f"{path}: {line}"
            assert runner.invoke(cli, [words[0], "--help"]).exit_code == 0


def test_json_events_command_lists_the_catalogue():
    result = CliRunner().invoke(cli, ["events", "--json"])
    assert result.exit_code == 0 and '"name": "routed"' in result.output
