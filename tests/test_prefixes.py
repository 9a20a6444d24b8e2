"""Shared parts of prompts: the field that states them, and the engines that have them cached."""

from __future__ import annotations

import base64
import json
import random

import pytest
from attrs import evolve

from apricotvale import codec, events
from apricotvale.discovery import Standing, Upstream
from apricotvale.engines.prefixes import PrefixCache
from apricotvale.engines.speed import EngineSpeed
from apricotvale.exceptions import BadInputError
from apricotvale.jobs import Item, PromptPart
from apricotvale.jobs.placement import Demand, EngineUsage, choose_engine
from apricotvale.platform import wire

SYSTEM, SHARED, OWN = PromptPart("aa", 260), PromptPart("bb", 740), PromptPart("cc", 40)
ENGINE = Upstream("e-1", 1, 1, "lm", "e-1:1", "a", 6, Standing.READY, models={"m": 3})
ENGINES = [evolve(ENGINE, upstream_id=f"e-{n}", address=f"e-{n}:1") for n in range(4)]
MEMORY = 33_730


def job_with(*fields):
    items = [
        {"id": f"i-{n}", "path": "/run/", "headers": {"Prompt-Prefix": field}, "tokens": 900}
        for n, field in enumerate(fields)
    ]
    return wire.parse_job("j-1", "host", "/run/", json.dumps({"items": items}).encode())


def test_the_parts_of_a_prompt_are_decoded_in_order():
    job = job_with("AA:260,bb:740, cc:40", "aa:260")
    assert job.items[0].prompt_parts == (SYSTEM, SHARED, OWN)
    assert job.items[1].prompt_parts == (SYSTEM,)


@pytest.mark.parametrize(
    "text",
    ["aa", "aa:", ":260", "aa:-1", "aa:2.5", "xy:260", "aa:260,", "aa:260,,bb:1", "a" * 500 + ":1"]
    + ["aa:" + "9" * 5_000, "aa:٣", ",".join(["aa:1"] * 1_000)],
)
def test_malformed_parts_count_as_none_with_one_line_for_the_job(text, monkeypatch):
    """A caller's mistake in a hint must not refuse its job, nor fill the log with its items."""
    lines = []
    monkeypatch.setattr(events, "emit", lambda kind, **fields: lines.append((kind, fields)))
    job = job_with(text, "aa:260", text)
    assert [item.prompt_parts for item in job.items] == [(), (SYSTEM,), ()]
    assert [kind for kind, _ in lines] == [events.PROMPT_PARTS_IGNORED]
    assert lines[0][1]["items"] == 2
    assert len(lines[0][1]["value"]) <= 80


def test_an_item_of_the_previous_build_has_no_parts():
    """A snapshot that an older process wrote stays readable."""
    item = Item("i", "/", {}, base64.b64decode("Ym9keQ=="))
    assert codec.decode(codec.encode(item, Item), Item).prompt_parts == ()
    parts = evolve(item, prompt_parts=(SYSTEM, OWN))
    assert codec.decode(codec.encode(parts, Item), Item) == parts


def test_a_part_counts_only_after_all_parts_before_it():
    """An engine reuses the start of a prompt, not parts in its middle."""
    cache = PrefixCache()
    cache.add("one", "m", 3, (SYSTEM, SHARED, OWN), MEMORY)
    cache.add("two", "m", 3, (SHARED, OWN), MEMORY)
    cache.add("three", "m", 3, (SYSTEM, OWN), MEMORY)
    found = cache.cached_tokens("m", (SYSTEM, SHARED, PromptPart("dd", 9)))
    assert found == {"one": (3, 1_000), "three": (3, 260)}
    assert cache.cached_tokens("n", (SYSTEM,)) == {}


def test_another_version_has_none_of_the_parts():
    """Cached parts depend on the weights: after a load, an engine reads the whole prompt again."""
    cache, one = PrefixCache(), ENGINES[1]
    cache.add(one.incarnation, "m", 2, (SYSTEM, SHARED), MEMORY)
    parts = (SYSTEM, SHARED)
    assert choose(cache, parts) is ENGINES[0]
    cache.add(one.incarnation, "m", 3, (SYSTEM, SHARED), MEMORY)
    assert choose(cache, parts) is one


def test_the_least_recently_used_parts_make_room_for_long_outputs():
    """Load pattern: outputs of 4,500 tokens fill the memory, which evicts cached parts."""
    cache = PrefixCache()
    cache.add("one", "m", 3, (SYSTEM, PromptPart("01", 700)), 2_000)
    cache.add("one", "m", 3, (SYSTEM, PromptPart("02", 700)), 2_000)
    cache.add("one", "m", 3, (SYSTEM, PromptPart("01", 700)), 2_000)
    cache.add("one", "m", 3, (SYSTEM, PromptPart("03", 700)), 2_000)
    for part, tokens in (("01", 960), ("02", 260), ("03", 960)):
        assert cache.cached_tokens("m", (SYSTEM, PromptPart(part, 700)))["one"] == (3, tokens)
    cache.add("one", "m", 3, (OWN,), 0)
    assert cache.cached_tokens("m", (SYSTEM,)) == {}
    assert cache.engines["one"].tokens == 0 and cache.holders == {}


def test_another_incarnation_has_no_parts():
    """An engine that restarts under its id starts with an empty memory."""
    cache = PrefixCache()
    cache.add("e-1@1", "m", 3, (SYSTEM,), MEMORY)
    assert "e-1@2" not in cache.cached_tokens("m", (SYSTEM,))
    cache.forget("e-1@1")
    assert cache.cached_tokens("m", (SYSTEM,)) == {} and cache.engines == {}


def choose(cache, parts, usages=None, tokens=700):
    demand = Demand("m", 2, tokens + 1_000, tokens, 1_000)
    cached = cache.cached_tokens("m", parts)
    return choose_engine(ENGINES, usages or {}, {}, demand, 0.0, MEMORY, cached)


def usages_of(*runs, pace=0.037):
    found = {}
    for engine, count in zip(ENGINES, runs, strict=True):
        found[engine.incarnation] = usage = EngineUsage(in_flight=count, pace=EngineSpeed())
        usage.pace.add(pace, 1)
    return found


@pytest.mark.parametrize(
    ("runs", "tokens", "chosen"),
    [
        ((0, 0, 0, 0), 700, 2),
        ((2, 2, 2, 2), 700, 2),
        ((0, 2, 1, 2), 6_000, 0),
        ((0, 2, 3, 2), 50, 0),
        ((4, 4, 5, 4), 700, 0),
        ((6, 6, 6, 5), 700, 3),
    ],
)
def test_a_cached_prompt_decides_only_between_engines_with_about_the_same_load(
    runs, tokens, chosen
):
    """Reading 1,000 tokens takes 3 ms, which is never worth an engine with many or long runs.

    The last free slot of an engine is left for items whose prompt no engine has.
    """
    cache = PrefixCache()
    cache.add(ENGINES[2].incarnation, "m", 3, (SYSTEM, SHARED), MEMORY)
    assert choose(cache, (SYSTEM, SHARED), usages_of(*runs), tokens) is ENGINES[chosen]


def test_long_items_find_their_prompt_on_an_engine_with_the_fewest_runs():
    """Load pattern: items of groups follow each other while other items start and end.

    The number of runs alone sends an item to an engine that has to read the whole prompt, although
    an engine with as few runs has it cached.
    """
    rng, cache, hits = random.Random(1), PrefixCache(), 0
    for _ in range(400):
        usages = usages_of(*(rng.randrange(1, 4) for _ in ENGINES))
        parts = (SYSTEM, PromptPart(f"a{rng.randrange(8)}", 740))
        found = cache.cached_tokens("m", parts)
        whole = {name for name, (_, tokens) in found.items() if tokens == 1_000}
        engine = choose(cache, parts, usages, 3_000)
        fewest = min(usage.in_flight for usage in usages.values())
        idlest = {name for name, usage in usages.items() if usage.in_flight == fewest}
        assert engine.incarnation in (idlest & whole or idlest)
        hits += bool(idlest & whole)
        cache.add(engine.incarnation, "m", 3, parts, 4_000)
    assert hits > 100


@pytest.mark.parametrize("changes", [{"sequence": -1}, {"models": [{"name": "m", "version": -2}]}])
def test_a_report_with_a_negative_number_is_ignored(changes):
    """A negative number of orders would be the precondition of the next load order."""
    report = {"sequence": 1, "busy": False, "models": [{"name": "m", "version": 2}]} | changes
    with pytest.raises(BadInputError):
        wire.parse_report(json.dumps(report).encode())
