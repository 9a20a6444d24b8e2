"""The command that compares routing policies in simulation."""

from __future__ import annotations

import json
from pathlib import Path

import click
from attrs import evolve

from apricotvale.cli._calls import print_table
from apricotvale.experiments.policies import POLICIES
from apricotvale.experiments.run import Run, summarise
from apricotvale.experiments.scenarios import SCENARIOS

REPORT_COLUMNS = (
    "step_ratio_mean",
    "step_ratio_max",
    "idle_share",
    "staleness_mean",
    "staleness_max",
    "wasted_share",
    "call_p50_s",
    "call_p99_s",
    "call_p99_ratio",
    "calls_failed",
)


@click.command()
@click.option(
    "--scenario", "names", multiple=True, help="Scenario to run; repeatable, by default all."
)
@click.option("--seeds", default=5, help="Number of seeds per scenario.")
@click.option(
    "--json", "json_file", type=click.Path(path_type=Path), help="Write the report to a JSON file."
)
def bench(names: tuple[str, ...], seeds: int, json_file: Path | None) -> None:
    """Compare the routing policy with baselines on simulated engines in virtual time."""
    report: dict[str, dict[str, dict[str, float]]] = {}
    for scenario in SCENARIOS:
        if names and scenario.name not in names:
            continue
        rows: dict[str, dict[str, float]] = {}
        report[scenario.name] = rows
        for policy in POLICIES:
            calls_only = evolve(scenario, samples=False)
            results = [Run(scenario, policy, seed).execute() for seed in range(seeds)]
            baselines = [Run(calls_only, policy, seed).execute() for seed in range(seeds)]
            rows[policy.name] = summarise(results, baselines)
        click.echo(f"\n{scenario.name}")
        table = [[name, *(row[column] for column in REPORT_COLUMNS)] for name, row in rows.items()]
        print_table(["policy", *REPORT_COLUMNS], table)
    if json_file is not None:
        json_file.write_text(json.dumps(report, indent=2) + "\n")
