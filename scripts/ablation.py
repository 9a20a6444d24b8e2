"""Play days of a site with one mechanism switched off at a time, and print what each is worth.

The plays of a day and seed are compared in pairs with the play of the unchanged project. Each
mechanism is switched off in a clone of its own, so that the sources of a play do not change while
it runs; copy the journal entries of the clones into the project.
"""

from __future__ import annotations

import random
import re
import statistics
import subprocess
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click

from apricotvale.mechanisms import Mechanism

TEMPLATE = "deploy/settings.toml.in"
WORTH = re.compile(r"^worth (-?[\d.]+)", re.M)
BROKEN = re.compile(r"BROKEN|rules broken")
PLAY_TIMEOUT_S = 1_500
BOOTSTRAP_ROUNDS = 4_000


def make_clone(folder: Path, name: str) -> Path:
    """Clone this project, and switch a mechanism off in the clone unless the name is `base`."""
    clone = folder / name
    if not clone.exists():
        root = Path(__file__).resolve().parent.parent
        subprocess.run(["git", "clone", "-q", str(root), str(clone)], check=True)
        if name != "base":
            template = clone / TEMPLATE
            template.write_text(f'disabled = ["{name}"]\n' + template.read_text())
    return clone


def play(clone: Path, bench: str, site: str, day: str, seed: int, options: list[str]) -> str:
    """Play a day; return its worth as text, or why there is none."""
    why = f"ablation: {clone.name} on {day}, seed {seed}"
    command = [bench, "run", site, day, "--seed", str(seed), "--why", why, *options]
    done = subprocess.run(
        command, cwd=clone, capture_output=True, text=True, timeout=PLAY_TIMEOUT_S
    )
    text = done.stdout + done.stderr
    if BROKEN.search(text):
        return "a rule broken"
    found = WORTH.search(text)
    return found[1] if found else " ".join(text.splitlines()[-1:])


def interval(differences: list[float]) -> tuple[float, float]:
    """Return the 90 % bootstrap interval of the mean."""
    rng = random.Random(1)
    size = len(differences)
    means = sorted(
        statistics.fmean(rng.choices(differences, k=size)) for _ in range(BOOTSTRAP_ROUNDS)
    )
    return means[int(BOOTSTRAP_ROUNDS * 0.05)], means[int(BOOTSTRAP_ROUNDS * 0.95)]


def rows(results: dict[tuple[str, str, int], str], names: list[str]) -> Iterator[str]:
    """Yield a line for each mechanism: its worth as the mean difference to the base."""
    for name in names:
        differences, failures = [], []
        for (played, day, seed), worth in results.items():
            base = results["base", day, seed]
            if played != name:
                continue
            try:
                differences.append(float(base) - float(worth))
            except ValueError:
                failures.append(f"{day} {seed}: {worth if base[0].isdigit() else base}")
        mean = statistics.fmean(differences) if differences else 0.0
        low, high = interval(differences) if len(differences) > 1 else (mean, mean)
        line = f"| {name} | {mean:+.3f} | {low:+.3f} to {high:+.3f} | {len(differences)} |"
        yield line + "".join(f" {failure};" for failure in failures)


@click.command()
@click.argument("bench", type=click.Path(exists=True))
@click.argument("site", type=click.Path(exists=True))
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--days", required=True, help="Names of days, separated by commas.")
@click.option("--seeds", default="1,2", show_default=True)
@click.option("--only", default="", help="Mechanisms to switch off; all if left out.")
@click.option("--jobs", default=2, show_default=True)
@click.option("--bench-options", default="", help="Further options of the bench, such as --small.")
def main(
    bench: str,
    site: str,
    folder: Path,
    days: str,
    seeds: str,
    only: str,
    jobs: int,
    bench_options: str,
) -> None:
    """Play days of SITE with BENCH in clones below FOLDER, one for each mechanism."""
    names = only.split(",") if only else [mechanism.value for mechanism in Mechanism]
    folder.mkdir(parents=True, exist_ok=True)
    clones = {name: make_clone(folder, name) for name in ["base", *names]}
    plays = [
        (name, day, int(seed))
        for day in days.split(",")
        for seed in seeds.split(",")
        for name in clones
    ]
    results: dict[tuple[str, str, int], str] = {}

    def run(key: tuple[str, str, int]) -> None:
        name, day, seed = key
        results[key] = play(clones[name], bench, site, day, seed, bench_options.split())
        click.echo(f"{name} {day} {seed}: {results[key]}", err=True)

    with ThreadPoolExecutor(jobs) as pool:
        list(pool.map(run, plays))
    click.echo("| mechanism | worth | 90 % interval | pairs |\n| --- | --- | --- | --- |")
    for line in rows(results, names):
        click.echo(line)


if __name__ == "__main__":
    main()
