"""Starts a complete system on loopback and runs a trial while it kills and restarts processes.

It is not part of the package, as processes of the system do not start other processes.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from scripts.ports import free_address  # noqa: E402

STOP_TIMEOUT_S = 25
COMMAND = [sys.executable, "-m", "apricotvale"]


def toml_value(value: object) -> str:
    if isinstance(value, dict):
        inner = ", ".join(f'"{key}" = {toml_value(item)}' for key, item in value.items())
        return "{ " + inner + " }"
    return json.dumps(value)


class System:
    """The processes of a deployment.

    :param example: folder in `examples` with its configuration.
    :param folder: where settings, logs and data are written.
    :param control_replicas: number of control replicas.
    """

    def __init__(self, example: str, folder: Path, control_replicas: int = 3) -> None:
        self.example = ROOT / "examples" / example
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        self.arguments: dict[str, list[str]] = {}
        self.replicas = {
            f"control-{number}": free_address() for number in range(1, control_replicas + 1)
        }
        self.addresses: dict[str, str] = {}
        self.run_count_urls: list[str] = []

    @property
    def control(self) -> str:
        return ",".join(self.replicas.values())

    def start(self, name: str, arguments: list[str]) -> None:
        self.arguments[name] = arguments
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            COMMAND + arguments, stderr=log, stdout=log, env={**os.environ}
        )

    def write_settings(self, name: str, values: dict[str, object]) -> str:
        path = self.folder / f"{name}.toml"
        lines = [f"{key} = {toml_value(value)}" for key, value in values.items()]
        path.write_text("\n".join(lines) + "\n")
        return str(path)

    def start_control(self) -> None:
        for name, listen in self.replicas.items():
            values = {
                "name": name,
                "site": "control",
                "listen": listen,
                "control": list(self.replicas.values()),
                "replicas": self.replicas,
                "data_folder": str(self.folder / f"{name}.data"),
            }
            self.start(name, ["control", self.write_settings(name, values)])

    def start_member(self, kind: str, name: str, site: str, extra: dict[str, object]) -> None:
        self.addresses[name] = free_address()
        values = {
            "name": name,
            "site": site,
            "listen": self.addresses[name],
            "control": list(self.replicas.values()),
            **extra,
        }
        self.start(name, [kind, self.write_settings(name, values)])

    def start_engine(
        self, number: int, site: str, pool: str, models: list[str], store: str
    ) -> None:
        listen = free_address()
        flags = [item for model in models for item in ("--model", model)]
        checks_fencing = number % 2 == 0
        flags += ["--checks-fencing"] if checks_fencing else []
        self.start(
            f"engine-{number}", ["standin", "engine", "--listen", listen, "--store", store, *flags]
        )
        upstream = {"address": listen, "pool": pool, "checks_fencing": checks_fencing}
        self.start_member("sidecar", f"{pool}-{number}", site, {"upstream": upstream})

    def start_service(self, kind: str, number: int, site: str, service: str) -> None:
        listen = free_address()
        self.start(f"{service}-standin-{number}", ["standin", kind, "--listen", listen])
        if kind == "service":
            self.run_count_urls.append(f"http://{listen}/runs")
        upstream = {"address": listen, "service": service}
        self.start_member("sidecar", f"{service}-{number}", site, {"upstream": upstream})

    def run(self, *arguments: str, check: bool = True) -> subprocess.CompletedProcess:
        return subprocess.run(COMMAND + list(arguments), check=check, text=True)

    def wait_ready(self, names: list[str], timeout_s: float = 30.0) -> None:
        deadline = time.monotonic() + timeout_s
        for name in names:
            while not self.is_ready(name):
                if time.monotonic() > deadline:
                    raise SystemExit(f"{name} was not ready in time; see {self.folder}/{name}.log")
                time.sleep(0.05)

    def is_ready(self, name: str) -> bool:
        try:
            url = f"http://{self.addresses[name]}/readyz"
            with urllib.request.urlopen(url, timeout=1) as response:
                return response.status == 200
        except OSError:
            return False

    def kill(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()

    def restart(self, name: str) -> None:
        self.start(name, self.arguments[name])

    def leader(self) -> str:
        result = subprocess.run(
            [*COMMAND, "status", "--json", "--control", self.control],
            check=True,
            capture_output=True,
            text=True,
        )
        return json.loads(result.stdout)["leader"]

    def stop(self) -> list[str]:
        """Stop all processes, entries and sidecars before stand-ins and control.

        Returns a message for each process that did not stop cleanly.
        """
        failures = []
        order = [name for name in self.processes if name.startswith("entry")]
        order += [name for name in self.addresses if name not in order]
        order += [name for name in self.processes if name not in order]
        failures += self.stop_processes([name for name in order if name in self.addresses])
        failures += self.stop_processes([name for name in order if name not in self.addresses])
        return failures

    def stop_processes(self, names: list[str]) -> list[str]:
        """Terminate processes in parallel; return a message for each that did not stop cleanly.

        A process that does not end within `STOP_TIMEOUT_S` is killed and reported. Status 0 counts
        as clean, and so does an exit by SIGKILL before, by which the demo injects faults.
        """
        failures = []
        for name in names:
            if self.processes[name].poll() is None:
                self.processes[name].terminate()
        for name in names:
            process = self.processes[name]
            try:
                code = process.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                failures.append(f"{name} did not end within {STOP_TIMEOUT_S} s and was killed")
                continue
            if code not in (0, -signal.SIGKILL):
                failures.append(f"{name} exited with status {code}")
        return failures


def build(example: str, folder: Path) -> System:
    system = System(example, folder)
    system.start_control()
    system.store = free_address()
    system.start("store", ["standin", "weights", "--listen", system.store])
    if example == "tiszavolgyi":
        sites = ["szeged", "kecskemet", "bekescsaba", "szolnok"]
        pool, models, service = "drafter", ["permit-drafter"], "permit-desk"
        system.start_service("scorer", 1, sites[0], "draft-scorer")
    else:
        sites = ["gent-a", "gent-b", "gent-c"]
        pool, models, service = "lm-pool", ["call-summary", "callback-script"], "queue-app"
    for number in (1, 2, 3):
        system.start_engine(number, sites[number % len(sites)], pool, models, system.store)
    for number in (1, 2):
        system.start_service("service", number, sites[number % len(sites)], service)
    for number in (1, 2):
        system.start_member("entry", f"entry-{number}", sites[number % len(sites)], {})
    base = system.example / "base.toml"
    overlays = [
        item
        for path in sorted(system.example.glob("overlays/*.toml"))
        for item in ("--overlay", str(path))
    ]
    system.run("config", "apply", str(base), *overlays, "--control", system.control)
    system.wait_ready(list(system.addresses))
    system.pool = pool
    return system


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("example", choices=["tiszavolgyi", "terugbel"], nargs="?")
    parser.add_argument("--folder", type=Path)
    parser.add_argument("--steps", type=int, default=12)
    parser.add_argument("--no-kills", action="store_true")
    options = parser.parse_args()
    example = options.example or "tiszavolgyi"
    folder = options.folder or Path(tempfile.mkdtemp(prefix="apricotvale-"))
    folder.mkdir(parents=True, exist_ok=True)
    print(f"logs and data: {folder}")
    started = time.monotonic()
    system = build(example, folder)
    print(f"system ready after {time.monotonic() - started:.1f} s")
    report = folder / "report.json"
    entries = [f"http://{system.addresses[name]}" for name in ("entry-1", "entry-2")]
    arguments = [item for url in entries for item in ("--entry", url)]
    arguments += [item for url in system.run_count_urls for item in ("--audit", url)]
    arguments += ["--control", system.control, "--steps", str(options.steps)]
    arguments += ["--drain", f"{system.pool}-3", "--json", str(report)]
    trial = subprocess.Popen(COMMAND + ["try"] + arguments)
    if not options.no_kills:
        kill_and_restart(system, trial)
    code = trial.wait()
    failures = system.stop()
    for failure in failures:
        print(failure)
    print(f"finished after {time.monotonic() - started:.1f} s")
    sys.exit(code or bool(failures))


def kill_and_restart(system: System, trial: subprocess.Popen) -> None:
    """Kill and restart an engine, an entry and the control leader while the trial runs."""
    for choose_name in (lambda: "engine-1", lambda: "entry-2", system.leader):
        try:
            trial.wait(timeout=3)
            return
        except subprocess.TimeoutExpired:
            pass
        name = choose_name()
        print(f"killing {name}")
        system.kill(name)
        time.sleep(1.0)
        system.restart(name)


if __name__ == "__main__":
    main()
