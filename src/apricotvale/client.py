"""A client for trainers that retries calls on any entry and yields each sample exactly once."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from attrs import define, field, frozen

from apricotvale.exceptions import RejectedError, UnreachableError
from apricotvale.http_client import make_connector

ATTEMPT_TIMEOUT_S = 12.0
RETRY_DELAY_S = 0.1
PULL_WAIT_MS = 2_000
RETRYABLE_REASONS = ("not_ready", "no_quorum", "island", "draining")


@frozen
class Sample:
    """A generated sample.

    :param segments: weight versions that produced the sample, as (first token, version) pairs.
    :param score: result of the trainer's scorer; None if the sample was not scored.
    """

    step: int
    slot: int
    text: str
    tokens: int
    segments: tuple[tuple[int, int], ...]
    score: float | None

    @property
    def oldest_version(self) -> int:
        """Return the oldest weight version that produced a part of the sample."""
        return min(version for _, version in self.segments)


@define
class TrainerClient:
    """A trainer's connection to the system, as an async context manager.

    :param trainer: the trainer's name in the deployment.
    :param entries: base URLs of the entries; a failed call is retried on the next one.
    :param patience_s: total time limit of a call with its retries, in seconds.
    """

    trainer: str
    entries: list[str]
    patience_s: float = 60.0
    version: int = 0
    last_pull: int = 0
    entry_index: int = 0
    session: aiohttp.ClientSession | None = field(default=None)

    async def __aenter__(self) -> TrainerClient:
        timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
        self.session = aiohttp.ClientSession(connector=make_connector(), timeout=timeout)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.session is not None:
            await self.session.close()

    async def open_step(self, step: int, prompts: list[str], **options: Any) -> int:
        """Open a step and return the trainer's current weight version.

        :param step: number of the step, greater than that of the previous step.
        :param prompts: prompts, each of which is sampled `group_size` times.
        :param options: `group_size`, `staleness_bound` and `whole_groups`, which default to the
            values of the deployment; `max_tokens`, 64 by default; `deadline_ms`, 1,200,000 by
            default.
        """
        answer = await self.call("steps", {"step": step, "prompts": prompts, **options})
        self.version = max(self.version, int(answer["version"]))
        return self.version

    async def samples(self, step: int, most: int = 256) -> AsyncIterator[Sample]:
        """Yield each sample of a step once, as soon as it is ready.

        :param most: largest number of samples in one pull.
        """
        cursor = 0
        done = False
        while not done:
            self.last_pull += 1
            body = {"cursor": cursor, "most": most, "wait_ms": PULL_WAIT_MS}
            answer = await self.call(f"steps/{step}/pull", body, is_pull=True)
            cursor = int(answer["next"])
            done = bool(answer["done"])
            for position in answer["positions"]:
                sample = position["sample"]
                if sample is not None:
                    yield read_sample(step, sample)

    async def publish(self, version: int) -> int:
        """Publish new weights and return the version that is now current."""
        answer = await self.call("versions", {"version": version})
        self.version = max(self.version, int(answer["version"]))
        return self.version

    async def close_step(self, step: int) -> None:
        """Close a step and stop the generation of its remaining samples."""
        await self.call(f"steps/{step}/close", {})

    async def call(self, path: str, body: dict[str, Any], is_pull: bool = False) -> Any:
        """Send a call, retrying on the next entry until one answers.

        Each attempt of a pull gets a new number: only the answer to the last attempt is used, and
        the system rejects a pull with a lower number than one it has answered.

        :param path: path below the trainer's URL.
        :raises RejectedError: if an entry refuses the call for a reason that is not retryable.
        :raises UnreachableError: if no entry answers within `patience_s`.
        """
        deadline = time.monotonic() + self.patience_s
        while time.monotonic() < deadline:
            if is_pull:
                self.last_pull += 1
                body = {**body, "pull": self.last_pull}
            try:
                return await self.attempt(path, body)
            except RejectedError as error:
                if error.problem.get("title", "").replace(" ", "_") not in RETRYABLE_REASONS:
                    raise
            except (aiohttp.ClientError, TimeoutError, ConnectionError, ValueError):
                # A document that cannot be parsed is no answer either.
                pass
            self.entry_index += 1
            await asyncio.sleep(RETRY_DELAY_S)
        raise UnreachableError(
            f"no entry answered {path} of trainer {self.trainer} within {self.patience_s} s"
        )

    async def attempt(self, path: str, body: dict[str, Any]) -> Any:
        """Send a call once, to the current entry."""
        assert self.session is not None
        base = self.entries[self.entry_index % len(self.entries)]
        url = f"{base}/trainers/{self.trainer}/{path}"
        async with self.session.post(url, json=body) as response:
            answer = await response.json(content_type=None)
            if response.status != 200:
                raise RejectedError(answer)
            return answer


def read_sample(step: int, document: dict[str, Any]) -> Sample:
    """Parse a sample in the answer to a pull."""
    segments = tuple((int(first), int(version)) for first, version in document["segments"])
    return Sample(
        step,
        int(document["slot"]),
        str(document["text"]),
        int(document["tokens"]),
        segments,
        document.get("score"),
    )
