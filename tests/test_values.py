"""Numbers and texts of callers, trainers and peers that cannot be stored or sent on."""

from __future__ import annotations

import base64
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotvale import clock
from apricotvale.codec import encode
from apricotvale.consensus.messages import Entry, EntryKind
from apricotvale.daemons.leader_client import LeaderClient
from apricotvale.daemons.rpc_server import ControlService, make_server
from apricotvale.exceptions import BadInputError, EncodingError
from apricotvale.fleet import calls
from apricotvale.fleet import commands as c
from apricotvale.fleet.calls import FLEET
from apricotvale.fleet.state import FleetState
from apricotvale.outcomes import Ran, Reason
from apricotvale.platform import wire
from apricotvale.platform.requests import parse_count
from scripts.ports import free_address
from tests import platform_site

HUGE = 10**30
SURROGATE = "\ud800"


def make_item(**changes):
    return {**platform_site.item("i-1"), **changes}


def make_document(*items, **changes):
    return {"items": list(items) or [make_item()], "step": 1, "model": "m", **changes}


BAD_JOBS = {
    "step": make_document(step=HUGE),
    "min_version": make_document(min_version=HUGE),
    "negative min_version": make_document(min_version=-1),
    "target_groups": make_document(target_groups=HUGE),
    "model": make_document(model=SURROGATE),
    "tokens": make_document(make_item(tokens=HUGE)),
    "negative tokens": make_document(make_item(tokens=-5)),
    "group": make_document(make_item(group=SURROGATE)),
    "item id": make_document(make_item(id=SURROGATE)),
    "path with a line break": make_document(make_item(path="/a\r\nX: y")),
    "path with a space": make_document(make_item(path="/a b")),
    "path without a slash": make_document(make_item(path="a")),
    "header with a line break": make_document(make_item(headers={"X": "a\r\nY: b"})),
    "header name": make_document(make_item(headers={"X Y": "a"})),
    "header text": make_document(make_item(headers={"X": SURROGATE})),
    "header number": make_document(make_item(headers={"X": 3})),
    "scorer path": make_document(
        make_item(scorer={"id": "s", "hostname": "h", "path": "/a\nb", "body": ""})
    ),
}


@pytest.mark.parametrize("document", BAD_JOBS.values(), ids=BAD_JOBS)
def test_a_job_with_a_value_that_cannot_be_kept_is_rejected(document):
    with pytest.raises(BadInputError):
        wire.parse_job("j-1", "h", "/jobs", json.dumps(document).encode())


@pytest.mark.parametrize("hint", [str(HUGE), "9" * 5000, "²", "-1", "x", ""])
def test_an_estimate_that_is_no_number_of_tokens_counts_as_none(hint):
    headers = {"Length-Hint": hint, "Token-Usage": f"{hint},5", "Prompt-Prefix": ""}
    document = make_document(make_item(headers=headers))
    (item,) = wire.parse_job("j-1", "h", "/jobs", json.dumps(document).encode()).items
    assert (item.expected_tokens, item.prompt_tokens) == (0, 0)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**40), 10**40)
    | st.floats(allow_nan=True)
    | st.text(alphabet="a/\n\x00 é\ud800", max_size=4)
    | st.sampled_from(["/x", "9" * 5000, "a\nb"]),
    lambda inner: st.lists(inner, max_size=2)
    | st.dictionaries(st.sampled_from(["id", "path", "hostname", "X"]), inner, max_size=2),
    max_leaves=4,
)
JOB_FIELDS = ("step", "model", "min_version", "target_groups", "items")
ITEM_FIELDS = ("id", "path", "headers", "body", "tokens", "group", "scorer")


@given(
    st.dictionaries(st.sampled_from(JOB_FIELDS), JSON_VALUES, max_size=2),
    st.dictionaries(st.sampled_from(ITEM_FIELDS), JSON_VALUES, max_size=2),
)
def test_each_job_is_rejected_or_can_be_stored(job_changes, item_changes):
    document = {**make_document(make_item(**item_changes)), **job_changes}
    try:
        job = wire.parse_job("j-1", "h", "/jobs", json.dumps(document).encode())
    except BadInputError:
        return
    assert encode(c.AcceptJob(job), c.Command)


@pytest.mark.parametrize("version", [HUGE, -1, 1.5, True, "1", None])
def test_a_weight_version_that_cannot_be_kept_is_rejected(version):
    body = json.dumps({"model": "m", "version": version}).encode()
    with pytest.raises(BadInputError):
        wire.parse_version(body)


ROUTE = platform_site.table(1)["routes"][0]
BAD_TABLES = {
    "version": platform_site.table(HUGE),
    "text": platform_site.table(1, routes=[{**ROUTE, "name": SURROGATE}]),
    "huge timeout": platform_site.table(1, routes=[{**ROUTE, "timeout_ms": 10**400}]),
    "infinite timeout": platform_site.table(1, routes=[{**ROUTE, "timeout_ms": float("inf")}]),
    "timeout that is no number": platform_site.table(
        1, routes=[{**ROUTE, "timeout_ms": float("nan")}]
    ),
    "huge limit": platform_site.table(1, limits={"max_body_bytes": HUGE}),
}


@pytest.mark.parametrize("document", BAD_TABLES.values(), ids=BAD_TABLES)
def test_a_table_with_a_number_that_no_command_can_hold_is_rejected(document):
    with pytest.raises(BadInputError):
        wire.parse_table(json.dumps(document).encode())


def test_a_number_beyond_the_range_of_floats_is_rejected():
    body = json.dumps(platform_site.table(1)).replace("1500", "1e999").encode()
    with pytest.raises(BadInputError):
        wire.parse_table(body)


@pytest.mark.parametrize("text", ["9" * 5000, str(HUGE), "-1", "1.0", "²", ""])
def test_a_count_that_no_command_can_hold_is_no_count(text):
    assert parse_count(text) is None


async def test_a_call_that_cannot_be_encoded_is_refused_at_once():
    """Guards against retries, each of which would close the connection of all other calls."""

    async def answer(request):
        return calls.Accepted()

    address = free_address()
    host, _, port = address.rpartition(":")
    server = make_server(ControlService(answer, lambda batch: None, FLEET))
    await server.start(host, int(port))
    client = LeaderClient([address], FLEET)
    deadline = client.now() + 5.0
    assert await client.call(calls.EndJob("j-1", None), deadline) == calls.Accepted()
    connection = client.clients[address]
    started = clock.now()
    refusal = await client.call(calls.EndJob(SURROGATE, None), deadline)
    assert (refusal.reason, refusal.ran) == (Reason.BAD_REQUEST, Ran.NOT_RUN)
    assert clock.now() - started < 1.0
    assert client.clients[address] is connection
    client.close()
    server.close()
    await server.wait_closed()


@pytest.mark.parametrize("command", [c.PublishVersion("m", HUGE), c.EndJob(SURROGATE)])
def test_a_command_that_cannot_be_encoded_is_a_typed_error(command):
    with pytest.raises(EncodingError):
        encode(command, c.Command)


@pytest.mark.parametrize("payload", [b"", b"\xc1", b"\x80", b"garbage", encode(1, int)])
def test_an_entry_that_cannot_be_decoded_has_no_effect(payload):
    """Guards against an entry of the log that ends every replica in turn."""
    state = FleetState()
    before = state.dump()
    result = state.apply(Entry(1, 1, 0, EntryKind.COMMAND, payload))
    assert result == c.Applied(changed=False, known=False)
    assert state.dump() == before


def test_a_body_that_is_no_base64_is_rejected():
    body = base64.b64encode(b"x").decode() + "!"
    with pytest.raises(BadInputError):
        wire.parse_job("j", "h", "/j", json.dumps(make_document(make_item(body=body))).encode())
