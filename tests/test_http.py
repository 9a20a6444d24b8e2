"""Bad input and small faults over HTTP: a clear typed error, nothing lost, nothing left behind."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import pytest

from apricotvale.standins.engine import completion_text
from tests.site import Site


@pytest.fixture
async def site(tmp_path):
    async with Site(tmp_path) as running:
        yield running


@pytest.mark.parametrize(
    ("path", "body", "status", "kind"),
    [
        ("/v1/completions", b"{", 400, "bad_request"),
        ("/v1/completions", b"[]", 400, "bad_request"),
        ("/v1/completions", b'{"model": "m"}', 400, "bad_request"),
        ("/v1/completions", b'{"model": "m", "prompt": 3}', 400, "bad_request"),
        ("/v1/completions", b'{"model": "m", "prompt": "p", "max_tokens": 0}', 400, "bad_request"),
        ("/v1/completions", b'{"model": "x", "prompt": "p"}', 404, "unknown_model"),
        ("/v1/completions", b"x" * 70_000, 413, "body_too_large"),
        ("/services/none/read", b"", 404, "unknown_service"),
        ("/services/desk/none", b"", 404, "unknown_route"),
        ("/nowhere", b"", 404, "unknown_route"),
        ("/trainers/none/steps", b"{}", 404, "unknown_trainer"),
        ("/trainers/t/steps", b'{"step": 1, "prompts": []}', 400, "bad_request"),
        ("/trainers/t/steps/9/pull", b'{"cursor": 0, "pull": 1}', 404, "unknown_step"),
        ("/trainers/t/steps/x/pull", b'{"cursor": 0, "pull": 1}', 400, "bad_request"),
        ("/trainers/t/versions", b'{"version": "x"}', 400, "bad_request"),
    ],
)
async def test_bad_input_is_refused_as_not_run(site, path, body, status, kind):
    async with site.session.post(site.url + path, data=body) as response:
        problem = json.loads(await response.read())
        assert response.status == status
        assert problem["type"] == f"urn:apricotvale:{kind}"
        assert problem["ran"] == "not_run"
        assert response.headers["X-Request-Id"] == problem["request_id"]


async def test_completion_is_whole_and_names_its_versions(site):
    status, answer = await site.complete("prompt", 6)
    assert status == 200
    assert answer["choices"][0]["text"] == completion_text("prompt", 6)
    assert answer["weight_versions"] == [[0, 0]]


async def test_chat_answers_in_its_own_shape(site):
    messages = [{"role": "user", "content": "hello"}]
    body = {"model": "m", "messages": messages, "max_tokens": 3}
    status, answer = await site.post("/v1/chat/completions", body)
    assert status == 200
    assert answer["choices"][0]["message"]["content"] == completion_text("user: hello", 3)


async def read_stream(site, tokens):
    body = {"model": "m", "prompt": "p", "max_tokens": tokens, "stream": True}
    async with site.session.post(f"{site.url}/v1/completions", json=body) as response:
        return (await response.read()).decode()


async def test_stream_is_whole_and_ends_with_its_marker(site):
    text = await read_stream(site, 40)
    events = [json.loads(line[6:]) for line in text.split("\n\n")[:-2]]
    joined = "".join(event["choices"][0]["text"] for event in events)
    assert joined == completion_text("p", 40)
    assert text.endswith("data: [DONE]\n\n")


async def test_a_cut_stream_breaks_the_callers_connection(site):
    for engine in site.engines:
        engine.faults.cut_after = 5
    with pytest.raises(aiohttp.ClientError):
        await read_stream(site, 40)


@pytest.mark.parametrize("fault", [{"cut_after": 2}, {"garble": True}])
async def test_a_broken_answer_is_generated_again_elsewhere(site, fault):
    for name, value in fault.items():
        setattr(site.engines[0].faults, name, value)
    for at in range(6):
        status, answer = await site.complete(f"prompt {at}", 6)
        assert status == 200
        assert answer["choices"][0]["text"] == completion_text(f"prompt {at}", 6)


async def test_a_broken_answer_everywhere_is_unknown(site):
    for engine in site.engines:
        engine.faults.garble = True
    status, problem = await site.complete()
    assert (status, problem["ran"]) == (502, "unknown")


async def test_a_caller_that_hangs_up_frees_the_engine(site):
    call = asyncio.create_task(site.complete("p", 100_000))
    await site.wait(lambda: any(engine.batch for engine in site.engines))
    call.cancel()
    await site.wait(lambda: not any(engine.batch for engine in site.engines))
    await site.wait(lambda: all(s.gate.admission.active == 0 for s in site.sidecars))


async def test_an_expired_deadline_is_refused_before_anything_runs(site):
    status, problem = await site.complete(**{"X-Deadline-Ms": "0"})
    assert (status, problem["ran"]) == (504, "not_run")


async def test_a_late_answer_does_not_reach_the_next_caller(site):
    status, problem = await site.complete("slow", 2000, **{"X-Deadline-Ms": "100"})
    assert (status, problem["ran"]) == (504, "unknown")
    for at in range(8):
        _, answer = await site.complete(f"next {at}", 4)
        assert answer["choices"][0]["text"] == completion_text(f"next {at}", 4)


async def test_an_old_revision_is_refused_after_the_grace(site):
    sidecar = site.sidecars[0]
    sidecar.revision_since -= 60.0
    fields = {"X-Config-Revision": "0", "X-Deadline-Ms": "1000"}
    url = f"http://{sidecar.settings.listen}/v1/completions"
    async with site.session.post(url, data=b"{}", headers=fields) as response:
        problem = json.loads(await response.read())
    assert problem["type"] == "urn:apricotvale:old_revision"
    assert problem["ran"] == "not_run"


async def test_a_slot_runs_once_however_often_its_key_is_sent(site):
    fields = {"Idempotency-Key": "k"}
    calls = [site.post("/services/desk/slots", {"id": 1}, fields) for _ in range(5)]
    answers = await asyncio.gather(*calls)
    assert {status for status, _ in answers} == {200}
    assert len({json.dumps(answer) for _, answer in answers}) == 1
    assert list(site.service.runs.values()) == [1]


async def test_a_key_for_another_request_is_refused(site):
    fields = {"Idempotency-Key": "k"}
    await site.post("/services/desk/slots", {"id": 1}, fields)
    status, problem = await site.post("/services/desk/slots", {"id": 2}, fields)
    assert (status, problem["type"]) == (422, "urn:apricotvale:key_reused")


async def test_a_recorded_outcome_is_replayed_when_its_upstream_is_gone(site):
    fields = {"Idempotency-Key": "k"}
    first = await site.post("/services/desk/slots", {"id": 1}, fields)
    await site.wait(lambda: not site.desk.link.outcomes)
    site.desk.stop.set()
    await site.desk.task
    await site.wait(lambda: "desk-1" not in site.entry.view.members)
    assert await site.post("/services/desk/slots", {"id": 1}, fields) == first


async def test_a_drain_lets_a_stream_end_and_refuses_new_work(site):
    stream = asyncio.create_task(read_stream(site, 200))
    await site.wait(lambda: any(engine.batch for engine in site.engines))
    busy = next(s for s, e in zip(site.sidecars, site.engines, strict=True) if e.batch)
    busy.stop.set()
    await site.wait(lambda: busy.draining)
    for at in range(4):
        assert (await site.complete(f"p{at}", 2))[0] == 200
    assert (await stream).endswith("data: [DONE]\n\n")
    await busy.task


async def test_an_entry_that_stops_finishes_its_requests(site):
    call = asyncio.create_task(site.complete("p", 100))
    await site.wait(lambda: any(engine.batch for engine in site.engines))
    stop, task = site.stops[-1]
    stop.set()
    assert (await call)[0] == 200
    await task
    await asyncio.sleep(0)
    assert "entry-1" not in site.control_state().roster.state.members


async def test_samples_give_way_to_interactive_work_and_go_on(site):
    async with site.trainer() as trainer:
        await trainer.open_step(1, [f"p{at}" for at in range(8)], max_tokens=200)
        await site.wait(lambda: all(len(engine.batch) >= 3 for engine in site.engines))
        answers = await asyncio.gather(*(site.complete(f"i{at}", 4) for at in range(8)))
        assert {status for status, _ in answers} == {200}
        samples = [sample async for sample in trainer.samples(1)]
    assert sorted(sample.slot for sample in samples) == list(range(16))
    for sample in samples:
        prompt = f"p{sample.slot // 2}"
        assert sample.text == completion_text(prompt, sample.tokens)


async def test_a_swap_in_mid_stream_opens_a_segment(site):
    async with site.trainer() as trainer:
        await trainer.open_step(1, ["p"], max_tokens=400, staleness_bound=5)
        await site.wait(lambda: any(engine.produced > 5 for engine in site.engines))
        await trainer.publish(1)
        samples = [sample async for sample in trainer.samples(1)]
    versions = {version for sample in samples for _, version in sample.segments}
    assert versions <= {0, 1}
    assert all(sample.segments[0][0] == 0 for sample in samples)


async def test_a_restarted_engine_is_a_new_incarnation(site):
    before = site.sidecars[0].incarnation
    site.engines[0].instance = "another"
    await site.wait(lambda: site.sidecars[0].incarnation != before)
    await site.wait(
        lambda: site.entry.view.members["pool-1"].incarnation == site.sidecars[0].incarnation
    )
    assert (await site.complete())[0] == 200
