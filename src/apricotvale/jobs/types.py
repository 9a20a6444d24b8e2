"""Jobs, their items and the results of items."""

from __future__ import annotations

from enum import StrEnum

from attrs import field, frozen

from apricotvale.discovery import Origin


class ItemState(StrEnum):
    """The final state of an item."""

    COMPLETED = "completed"
    FAILED = "failed"


@frozen
class RewardCall:
    """The request that scores an item's output."""

    request_id: str
    host: str
    path: str
    body: bytes


@frozen
class PromptPart:
    """A part of a prompt that other items may share.

    :param part_id: identifies the content of the part, in hexadecimal.
    """

    part_id: str
    tokens: int


@frozen
class Item:
    """One request of a job.

    :param tokens: prompt tokens plus the limit on generated tokens.
    :param expected_tokens: the caller's estimate of the generated tokens, 0 without one.
    :param prompt_tokens: tokens of the prompt, 0 if unknown.
    :param group: items of one group share a prompt; the trainer uses a group as a whole.
    :param prompt_parts: parts of the prompt in their order; the last one is the item's own.
    """

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0
    expected_tokens: int = 0
    group: str = ""
    reward: RewardCall | None = None
    prompt_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()


@frozen
class Job:
    """A batch of requests submitted together.

    :param step: step number of the trainer, -1 for a job without a trainer.
    :param min_version: oldest weight version that may generate its outputs.
    :param wanted_groups: number of complete groups that the trainer waits for.
    :param customer: the customer that owns the job, empty for a job without one.
    """

    job_id: str
    host: str
    path: str
    items: tuple[Item, ...]
    step: int = -1
    model: str = ""
    min_version: int = 0
    wanted_groups: int = 0
    customer: str = ""


@frozen
class Result:
    """The result of an item; its position in the job's results never changes.

    :param versions: all weight versions that generated the output.
    :param score: signature of the reward call's answer, empty without a reward call.
    """

    item_id: str
    state: ItemState
    output: bytes = b""
    versions: list[int] = field(factory=list)
    score: str = ""


@frozen
class Progress:
    """Events of an unfinished output since the last saved progress.

    :param start: number of events that precede these.
    :param last_event_id: id of the last event in `data`.
    :param versions: all weight versions that contributed to the output so far.
    :param origin: what generated the output, None if that is not known.
    """

    item_id: str
    start: int
    last_event_id: int
    versions: list[int]
    data: list[bytes]
    origin: Origin | None = None


def join_events(data: list[bytes]) -> bytes:
    """Return an output: the data of all its events, joined by line feeds."""
    return b"\n".join(data)
