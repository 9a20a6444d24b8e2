"""What a job consists of, and what becomes of its items."""

from __future__ import annotations

from enum import StrEnum

from attrs import field, frozen


class ItemState(StrEnum):
    """How an item ended."""

    COMPLETED = "completed"
    FAILED = "failed"


@frozen
class RewardCall:
    """The request that scores a finished text."""

    request_id: str
    host: str
    path: str
    body: bytes


@frozen
class Item:
    """One request of a job.

    :param tokens: tokens of the prompt and the most that may be generated.
    :param expected_tokens: the caller's estimate of what will be generated, 0 if there is none.
    :param group: items of one group share their prompt, and count for the trainer together.
    """

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0
    expected_tokens: int = 0
    group: str = ""
    reward: RewardCall | None = None


@frozen
class Job:
    """Requests that were submitted together.

    :param step: the trainer's step, -1 for a job without a trainer.
    :param min_version: oldest weight version that may generate its texts.
    :param wanted_groups: how many whole groups the trainer waits for.
    """

    job_id: str
    host: str
    path: str
    items: tuple[Item, ...]
    step: int = -1
    model: str = ""
    min_version: int = 0
    wanted_groups: int = 0


@frozen
class Result:
    """What became of an item; its place in the job's list never changes."""

    item_id: str
    state: ItemState
    output: bytes = b""
    versions: list[int] = field(factory=list)
    score: str = ""


@frozen
class Progress:
    """Events of an unfinished text, behind those of the progress before it.

    :param last_event_id: id of the last event in it.
    :param versions: all versions that made the text so far.
    :param start: how many events the text had before these.
    """

    item_id: str
    start: int
    last_event_id: int
    versions: list[int]
    data: list[bytes]
