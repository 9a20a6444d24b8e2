"""A client for trainers: it resends through any entry and hands each sample over exactly once."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from attrs import define, field, frozen

from apricotvale.exceptions import RejectedError, UnreachableError

ATTEMPT_S = 12.0
PAUSE_S = 0.1
PULL_WAIT_MS = 2_000
REPEATABLE = ("not_ready", "no_quorum", "island", "draining")


@frozen
class Sample:
    """A sample and the weight versions that produced it, as (first token, version) pairs."""

    step: int
    slot: int
    text: str
    tokens: int
    segments: tuple[tuple[int, int], ...]
    score: float | None

    @property
    def oldest_version(self) -> int:
        """Return the oldest version that produced a part of the sample."""
        return min(version for _, version in self.segments)


@define
class TrainerClient:
    """A trainer's connection to the system, as an async context manager.

    :param trainer: the trainer's name in the deployment.
    :param entries: base URLs of the entries; another one is tried when one fails.
    :param patience_s: how long a call is repeated, in seconds.
    """

    trainer: str
    entries: list[str]
    patience_s: float = 60.0
    version: int = 0
    pulls: int = 0
    at: int = 0
    session: aiohttp.ClientSession | None = field(default=None)

    async def __aenter__(self) -> TrainerClient:
        timeout = aiohttp.ClientTimeout(total=ATTEMPT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.session is not None:
            await self.session.close()

    async def open_step(self, step: int, prompts: list[str], **options: Any) -> int:
        """Open a step; return the trainer's version.

        :param step: number of the step, greater than the last one.
        :param prompts: the prompts; each is sampled `group_size` times.
        :param options: `group_size`, `staleness_bound`, `max_tokens`, `deadline_ms`,
            `whole_groups`; the deployment's values by default.
        """
        answer = await self.call("steps", {"step": step, "prompts": prompts, **options})
        self.version = max(self.version, int(answer["version"]))
        return self.version

    async def samples(self, step: int, most: int = 256) -> AsyncIterator[Sample]:
        """Yield the samples of a step as they become ready, each once.

        :param most: samples taken in one pull.
        """
        cursor = 0
        done = False
        while not done:
            self.pulls += 1
            body = {"cursor": cursor, "most": most, "wait_ms": PULL_WAIT_MS}
            answer = await self.call(f"steps/{step}/pull", body, is_pull=True)
            cursor = int(answer["next"])
            done = bool(answer["done"])
            for position in answer["positions"]:
                sample = position["sample"]
                if sample is not None:
                    yield read_sample(step, sample)

    async def publish(self, version: int) -> int:
        """Publish new weights; return the version in force."""
        answer = await self.call("versions", {"version": version})
        self.version = max(self.version, int(answer["version"]))
        return self.version

    async def close_step(self, step: int) -> None:
        """Close a step."""
        await self.call(f"steps/{step}/close", {})

    async def call(self, path: str, body: dict[str, Any], is_pull: bool = False) -> Any:
        """Send a call until an entry answers it.

        Each try of a pull has a number of its own: only the answer to the last try counts, and
        the system rejects a pull that is older than one it has answered.
        """
        deadline = time.monotonic() + self.patience_s
        while time.monotonic() < deadline:
            if is_pull:
                self.pulls += 1
                body = {**body, "pull": self.pulls}
            try:
                return await self.attempt(path, body)
            except RejectedError as error:
                if error.problem.get("title", "").replace(" ", "_") not in REPEATABLE:
                    raise
            except (aiohttp.ClientError, TimeoutError, ConnectionError):
                pass
            self.at += 1
            await asyncio.sleep(PAUSE_S)
        raise UnreachableError(f"no entry answered {path} within {self.patience_s} s")

    async def attempt(self, path: str, body: dict[str, Any]) -> Any:
        """Send a call to one entry."""
        assert self.session is not None
        base = self.entries[self.at % len(self.entries)]
        url = f"{base}/trainers/{self.trainer}/{path}"
        async with self.session.post(url, json=body) as response:
            answer = await response.json(content_type=None)
            if response.status != 200:
                raise RejectedError(answer)
            return answer


def read_sample(step: int, document: dict[str, Any]) -> Sample:
    """Return the sample in a pull's answer."""
    segments = tuple((int(first), int(version)) for first, version in document["segments"])
    return Sample(
        step,
        int(document["slot"]),
        str(document["text"]),
        int(document["tokens"]),
        segments,
        document.get("score"),
    )
