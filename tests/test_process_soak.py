"""Accepted changes and jobs survive faults on real processes that overlap, in runs by seed."""

from __future__ import annotations

import random
import shutil

import pytest

from apricotvale.consensus import disk
from tests.process_soak import run_seed
from tests.soak_disk import RecordedFiles
from tests.soak_power import lose_power


@pytest.mark.xdist_group("processes")
@pytest.mark.parametrize("seed", ["frozen-leader", "entries-lose-power", 101])
def test_what_was_accepted_survives_faults_that_overlap(seed, tmp_path):
    _, breaks, line = run_seed(seed, tmp_path / "run")
    assert not breaks, (line, breaks)


class KilledError(Exception):
    """The process is killed at this point."""


@pytest.fixture
def recorded(tmp_path, monkeypatch):
    """Return a function that makes a change on a disk, and ends before the change is synced."""

    def end():
        raise KilledError

    def use(name, change):
        record = tmp_path / name / "record"
        record.mkdir(parents=True)
        files = RecordedFiles(record)
        monkeypatch.setattr(disk, "os", files)
        folder = disk.FolderDisk(tmp_path / name / "data")
        folder.replace("state", b"old")
        folder.append("log", b"synced")
        files.wait = end
        with pytest.raises(KilledError):
            change(folder)
        folder.release()
        return folder.folder, record

    return use


def outcomes(recorded, change, name):
    """Return the contents that a file has after a loss of power, over many seeds."""
    data, record = recorded("original", change)
    found = set()
    for seed in range(60):
        copy = data.parent / f"copy-{seed}"
        shutil.copytree(data.parent, copy, ignore=lambda *_: ["copy"])
        lose_power(copy / "data", copy / "record", random.Random(seed))
        path = copy / "data" / name
        found.add(path.read_bytes() if path.exists() else None)
        shutil.rmtree(copy)
    return found


def test_a_loss_of_power_takes_back_only_the_write_that_was_not_synced(recorded):
    found = outcomes(recorded, lambda folder: folder.append("log", b" and more"), "log")
    assert {b"synced", b"synced and more"} < found
    assert all(content.startswith(b"synced") for content in found)


def test_a_loss_of_power_takes_back_a_file_whose_name_was_not_synced(recorded):
    found = outcomes(recorded, lambda folder: folder.append("new", b"content"), "new")
    assert found == {None, b""}


def test_a_loss_of_power_leaves_a_replaced_file_whole(recorded):
    assert outcomes(recorded, lambda folder: folder.replace("state", b"new"), "state") == {b"old"}
