"""HTTP API of the entry: refusals of bad input, failed upstreams, cancellation and drains."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import pytest
from attrs import evolve

from apricotvale.standins.engine import completion_text
from tests.site import Site

READ_REQUEST = b"GET /services/desk/read HTTP/1.1\r\nHost: h\r\n\r\n"


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


async def test_completion_returns_the_full_text_and_weight_versions(site):
    status, answer = await site.complete("prompt", 6)
    assert status == 200
    assert answer["choices"][0]["text"] == completion_text("prompt", 6)
    assert answer["weight_versions"] == [[0, 0]]


async def test_chat_answer_has_the_chat_format(site):
    messages = [{"role": "user", "content": "hello"}]
    body = {"model": "m", "messages": messages, "max_tokens": 3}
    status, answer = await site.post("/v1/chat/completions", body)
    assert status == 200
    assert answer["choices"][0]["message"]["content"] == completion_text("user: hello", 3)


async def read_stream(site, tokens):
    body = {"model": "m", "prompt": "p", "max_tokens": tokens, "stream": True}
    async with site.session.post(f"{site.url}/v1/completions", json=body) as response:
        return (await response.read()).decode()


async def test_stream_has_the_full_text_and_the_end_marker(site):
    text = await read_stream(site, 40)
    events = [json.loads(line[6:]) for line in text.split("\n\n")[:-2]]
    joined = "".join(event["choices"][0]["text"] for event in events)
    assert joined == completion_text("p", 40)
    assert text.endswith("data: [DONE]\n\n")


async def test_a_truncated_stream_aborts_the_callers_connection(site):
    for engine in site.engines:
        engine.faults.cut_after = 5
    with pytest.raises(aiohttp.ClientError):
        await read_stream(site, 40)


@pytest.mark.parametrize("fault", [{"cut_after": 2}, {"garble": True}])
async def test_a_malformed_answer_is_retried_on_another_engine(site, fault):
    for name, value in fault.items():
        setattr(site.engines[0].faults, name, value)
    for i in range(6):
        status, answer = await site.complete(f"prompt {i}", 6)
        assert status == 200
        assert answer["choices"][0]["text"] == completion_text(f"prompt {i}", 6)


async def test_malformed_answers_from_all_engines_have_an_unknown_outcome(site):
    for engine in site.engines:
        engine.faults.garble = True
    status, problem = await site.complete()
    assert (status, problem["ran"]) == (502, "unknown")


async def test_a_disconnected_caller_frees_the_engine(site):
    call = asyncio.create_task(site.complete("p", 100_000))
    await site.wait(lambda: any(engine.batch for engine in site.engines))
    call.cancel()
    await site.wait(lambda: not any(engine.batch for engine in site.engines))
    await site.wait(lambda: all(s.gate.admission.active == 0 for s in site.sidecars))


async def test_an_expired_deadline_is_refused_as_not_run(site):
    status, problem = await site.complete(**{"X-Deadline-Ms": "0"})
    assert (status, problem["ran"]) == (504, "not_run")


async def test_a_late_answer_does_not_reach_the_next_caller(site):
    status, problem = await site.complete("slow", 2000, **{"X-Deadline-Ms": "100"})
    assert (status, problem["ran"]) == (504, "unknown")
    for i in range(8):
        _, answer = await site.complete(f"next {i}", 4)
        assert answer["choices"][0]["text"] == completion_text(f"next {i}", 4)


async def test_an_old_revision_is_refused_after_the_grace_period(site):
    sidecar = site.sidecars[0]
    sidecar.revision_since -= 60.0
    fields = {"X-Config-Revision": "0", "X-Deadline-Ms": "1000"}
    url = f"http://{sidecar.settings.listen}/v1/completions"
    async with site.session.post(url, data=b"{}", headers=fields) as response:
        problem = json.loads(await response.read())
    assert problem["type"] == "urn:apricotvale:old_revision"
    assert problem["ran"] == "not_run"


async def test_concurrent_requests_with_one_key_run_once(site):
    fields = {"Idempotency-Key": "k"}
    requests = [site.post("/services/desk/slots", {"id": 1}, fields) for _ in range(5)]
    answers = await asyncio.gather(*requests)
    assert {status for status, _ in answers} == {200}
    assert len({json.dumps(answer) for _, answer in answers}) == 1
    assert list(site.service.runs.values()) == [1]


async def test_a_key_reused_for_another_request_is_refused(site):
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


async def test_a_drain_finishes_open_streams_and_refuses_new_requests(site):
    stream = asyncio.create_task(read_stream(site, 200))
    await site.wait(lambda: any(engine.batch for engine in site.engines))
    busy = next(s for s, e in zip(site.sidecars, site.engines, strict=True) if e.batch)
    busy.stop.set()
    await site.wait(lambda: busy.draining)
    for i in range(4):
        assert (await site.complete(f"p{i}", 2))[0] == 200
    assert (await stream).endswith("data: [DONE]\n\n")
    await busy.task


async def test_a_stopping_entry_finishes_its_requests(site):
    call = asyncio.create_task(site.complete("p", 100))
    await site.wait(lambda: any(engine.batch for engine in site.engines))
    stop, task = site.daemons[-1]
    stop.set()
    assert (await call)[0] == 200
    await task
    await asyncio.sleep(0)
    assert "entry-1" not in site.control_state().roster.state.members


async def open_kept_connection(entry):
    """Return a connection to an entry on which one request was answered."""
    host, port = entry.settings.listen.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(READ_REQUEST)
    assert await read_status(reader) == 200
    return reader, writer


async def read_status(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = next(line for line in head.split("\r\n") if line.startswith("content-length"))
    await reader.readexactly(int(length.split(":")[1]))
    return int(head.split()[1])


async def test_a_stopping_entry_closes_idle_connections_and_refuses_begun_requests(site):
    """Guards against requests on kept connections that are cut off when a stopping entry ends."""
    idle, _ = await open_kept_connection(site.entry)
    begun, begun_writer = await open_kept_connection(site.entry)
    begun_writer.write(READ_REQUEST[:20])
    call = asyncio.create_task(site.complete("p", 200))
    await site.wait(lambda: any(engine.batch for engine in site.engines))
    stop, task = site.daemons[-1]
    stop.set()
    assert await asyncio.wait_for(idle.read(), 2.0) == b""
    begun_writer.write(READ_REQUEST[20:])
    assert await asyncio.wait_for(read_status(begun), 2.0) == 503
    assert (await call)[0] == 200
    await task


async def test_a_request_that_outlasts_the_drain_of_an_entry_gets_a_final_answer(site):
    """Guards against requests whose connection is cut when a stopping entry ends."""
    limits = evolve(site.entry.deployment.limits, drain_ms=300)
    site.entry.deployment = evolve(site.entry.deployment, limits=limits)
    call = asyncio.create_task(site.complete("p", 2_000))
    await site.wait(lambda: any(engine.batch for engine in site.engines))
    stop, task = site.daemons[-1]
    stop.set()
    status, problem = await call
    assert (status, problem["ran"]) == (502, "unknown")
    await task


async def test_samples_are_preempted_by_interactive_requests_and_resume(site):
    async with site.trainer() as trainer:
        await trainer.open_step(1, [f"p{i}" for i in range(8)], max_tokens=200)
        await site.wait(lambda: all(len(engine.batch) >= 3 for engine in site.engines))
        answers = await asyncio.gather(*(site.complete(f"i{i}", 4) for i in range(8)))
        assert {status for status, _ in answers} == {200}
        samples = [sample async for sample in trainer.samples(1)]
    assert sorted(sample.slot for sample in samples) == list(range(16))
    for sample in samples:
        prompt = f"p{sample.slot // 2}"
        assert sample.text == completion_text(prompt, sample.tokens)


async def test_a_weight_swap_during_a_sample_starts_a_segment(site):
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
