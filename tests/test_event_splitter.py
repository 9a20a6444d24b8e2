"""Whole events are passed on unchanged, whatever the pieces in which they arrive."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotvale.exceptions import TruncatedStreamError
from apricotvale.requests import event_splitter
from apricotvale.requests.event_splitter import EventSplitter, StreamProgress

STREAM = b"id: 3\ndata: a\n\n: ping\n\nid: 4\r\ndata: b\r\ndata: c\r\n\r\nid:5\ndata: d\n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_pieces_make_no_difference(places):
    cuts = [0, *sorted(places), len(STREAM)]
    splitter = EventSplitter(StreamProgress(2))
    passed = b"".join(splitter.feed(STREAM[a:b]) for a, b in zip(cuts, cuts[1:], strict=False))
    splitter.check_complete()
    assert passed == STREAM
    assert splitter.progress == StreamProgress(5, True)


def test_an_incomplete_event_is_held_back():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 0\ndata: a\n\nid: 1\nda") == b"id: 0\ndata: a\n\n"
    with pytest.raises(TruncatedStreamError):
        splitter.check_complete()
    next_run = EventSplitter(splitter.progress)
    assert next_run.feed(b"id: 1\ndata: b\n\n") == b"id: 1\ndata: b\n\n"


@pytest.mark.parametrize("event_id", [b"3", b"5", b"0", b"x", b"-1"])
def test_an_event_out_of_sequence_is_an_error(event_id):
    splitter = EventSplitter(StreamProgress(3))
    with pytest.raises(TruncatedStreamError):
        splitter.feed(b"id: %s\ndata: a\n\n" % event_id)


def test_events_beside_a_faulty_one_do_not_count_as_passed_on():
    """Guards against a missing event: what came with a faulty one was not passed on."""
    splitter = EventSplitter(StreamProgress(3))
    with pytest.raises(TruncatedStreamError):
        splitter.feed(b"id: 4\ndata: a\n\nid: 9\ndata: b\n\n")
    assert splitter.progress == StreamProgress(3)


def test_a_stream_with_an_event_without_an_id_cannot_go_on():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 0\ndata: a\n\ndata: b\n\n")
    assert not splitter.progress.has_all_ids


def test_an_event_without_an_end_is_an_error(monkeypatch):
    monkeypatch.setattr(event_splitter, "MAX_EVENT_BYTES", 1000)
    splitter = EventSplitter()
    with pytest.raises(TruncatedStreamError):
        for _ in range(12):
            splitter.feed(b"x" * 100)
