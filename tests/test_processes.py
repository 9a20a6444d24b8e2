"""The daemons as processes: kills, freezes, wiped disks and a lost majority."""

from __future__ import annotations

import json
import shutil
import signal
import subprocess
import time
import urllib.error
import urllib.request

import pytest

from scripts.demo import COMMAND, System, address

WAIT_S = 20.0


def eventually(condition, timeout_s=WAIT_S):
    """Poll a condition of other processes until it holds."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError("not in time")


def command(*arguments, check=True):
    return subprocess.run(
        [*COMMAND, *arguments], check=check, text=True, capture_output=True, timeout=40
    )


class Site(System):
    """A small system with one engine, one service and two entries."""

    def begin(self):
        self.start_control()
        store = address()
        self.start("store", ["standin", "weights", "--listen", store])
        self.start_engine(1, "szeged", "drafter", ["permit-drafter"], store)
        self.start_service("service", 1, "szeged", "permit-desk")
        self.start_member("entry", "entry-1", "szeged", {})
        self.start_member("entry", "entry-2", "kecskemet", {})
        self.apply()
        self.wait_ready(list(self.addresses))

    def apply(self, *options, check=True):
        base = str(self.example / "base.toml")
        return command("config", "apply", base, "--control", self.control, *options, check=check)

    def report(self, *arguments):
        return json.loads(command(*arguments, "--json", "--control", self.control).stdout)

    def revision(self):
        return self.report("config", "show")["revision"]

    def ask(self, entry, method, path, body=None, headers=None):
        """Return status and JSON document of a call."""
        request = urllib.request.Request(
            f"http://{self.addresses[entry]}{path}", body, headers or {}, method=method
        )
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return response.status, json.loads(response.read())
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read())

    def followers(self):
        leader = self.leader()
        return [name for name in self.replicas if name != leader]


@pytest.fixture
def site(tmp_path):
    system = Site("tiszavolgyi", tmp_path)
    try:
        system.begin()
        yield system
    finally:
        for process in system.processes.values():
            process.send_signal(signal.SIGCONT)
        assert system.stop() == []


def test_leader_is_killed_and_accepted_changes_stay(site):
    before = site.revision()
    site.kill(site.leader())
    site.apply("--expect", str(before), "--operation", "after-kill", "--wait")
    assert site.revision() == before + 1
    conflict = site.apply("--expect", str(before), "--operation", "late", check=False)
    assert conflict.returncode == 5 and "after-kill" in conflict.stderr
    resent = site.apply("--expect", str(before), "--operation", "after-kill")
    assert f"revision {before + 1} " in resent.stdout


def test_frozen_leader_does_not_revert_anything_when_it_wakes(site):
    before = site.revision()
    frozen = site.leader()
    site.processes[frozen].send_signal(signal.SIGSTOP)
    site.apply("--expect", str(before), "--operation", "while-frozen", "--wait")
    site.processes[frozen].send_signal(signal.SIGCONT)
    own = command("config", "show", "--json", "--control", site.replicas[frozen], check=False)
    if own.returncode == 0:
        assert json.loads(own.stdout)["revision"] == before + 1
    assert site.revision() == before + 1


def test_wiped_replica_comes_back_as_a_new_one_and_a_second_may_be_lost(site):
    wiped, other = site.followers()
    old_id = {r["name"]: r["data_id"] for r in site.report("status")["replicas"]}[wiped]
    site.kill(wiped)
    shutil.rmtree(site.folder / f"{wiped}.data")
    site.restart(wiped)

    def is_voter():
        replicas = site.report("status")["replicas"]
        held = [replica for replica in replicas if replica["name"] == wiped]
        return len(replicas) == 3 and held[0]["voter"] and held[0]["data_id"] != old_id

    eventually(is_voter)
    site.kill(other)
    site.apply("--wait")


def test_with_a_minority_running_entries_serve_and_restarted_ones_do_not(site):
    call = {"model": "permit-drafter", "prompt": "p", "max_tokens": 2}
    body = json.dumps(call).encode()
    for name in site.followers():
        site.kill(name)
    site.kill("entry-2")
    site.restart("entry-2")
    eventually(lambda: is_listening(site, "entry-2"))
    assert not site.is_ready("entry-2")
    status, problem = site.ask("entry-2", "POST", "/v1/completions", body)
    assert (status, problem["ran"]) == (503, "not_run")
    assert site.ask("entry-1", "POST", "/v1/completions", body)[0] == 200
    assert site.ask("entry-1", "GET", "/services/permit-desk/fee-estimate")[0] == 200
    status, problem = site.ask("entry-1", "POST", "/services/permit-desk/permits", b"x")
    assert (status, problem["ran"]) == (503, "not_run")
    for name in list(site.replicas):
        if site.processes[name].poll() is not None:
            site.restart(name)
    site.wait_ready(["entry-2"])


def is_listening(site, name):
    try:
        with urllib.request.urlopen(f"http://{site.addresses[name]}/healthz", timeout=1):
            return True
    except OSError:
        return False


def test_a_drained_upstream_gets_no_new_work(site):
    assert site.ask("entry-1", "GET", "/services/permit-desk/fee-estimate")[0] == 200
    command("drain", "permit-desk-1", "--control", site.control)
    status, problem = site.ask("entry-1", "GET", "/services/permit-desk/fee-estimate")
    assert (status, problem["ran"]) == (503, "not_run")
    assert "retry_after_s" in problem


def test_a_damaged_data_folder_is_refused_and_left_alone(site):
    name = site.followers()[0]
    site.kill(name)
    snapshot = site.folder / f"{name}.data" / "snapshot"
    damaged = snapshot.read_bytes()[:-3]
    snapshot.write_bytes(damaged)
    result = command("control", str(site.folder / f"{name}.toml"), check=False)
    assert result.returncode == 3 and "damaged" in result.stderr
    assert snapshot.read_bytes() == damaged
