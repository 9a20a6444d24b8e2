"""Shared parts of prompts that engines have cached, as far as the leader's own runs tell."""

from __future__ import annotations

from collections import OrderedDict

from attrs import define, field

from apricotvale.jobs.types import PromptPart

# Assumed memory of an engine whose memory is unknown.
DEFAULT_MEMORY_TOKENS = 32_768


@define
class EngineCache:
    """The cached parts of one engine, the least recently used first.

    :param tokens: sum of the tokens of all parts.
    """

    parts: OrderedDict[tuple[str, str], int] = field(factory=OrderedDict)
    tokens: int = 0


@define
class PrefixCache:
    """Cached prompt parts by engine and model.

    A part is cached together with the weight version under which it was read: a load of another
    version makes it useless.

    :param engines: the parts by incarnation, in the order of their last use.
    :param holders: for each model and part, the version by incarnation.
    """

    engines: dict[str, EngineCache] = field(factory=dict)
    holders: dict[tuple[str, str], dict[str, int]] = field(factory=dict)

    def add(
        self,
        incarnation: str,
        model: str,
        version: int,
        parts: tuple[PromptPart, ...],
        memory_tokens: int,
    ) -> None:
        """Record that a run with these parts was sent to an engine.

        :param memory_tokens: memory of the engine that is not used by outputs.
        """
        if not parts:
            return
        cache = self.engines.setdefault(incarnation, EngineCache())
        for part in parts:
            key = (model, part.part_id)
            cache.tokens += part.tokens - cache.parts.pop(key, 0)
            cache.parts[key] = part.tokens
            self.holders.setdefault(key, {})[incarnation] = version
        while cache.tokens > memory_tokens and cache.parts:
            self.drop(incarnation, next(iter(cache.parts)))

    def drop(self, incarnation: str, key: tuple[str, str]) -> None:
        """Remove a part of an engine."""
        cache = self.engines[incarnation]
        cache.tokens -= cache.parts.pop(key)
        holders = self.holders[key]
        del holders[incarnation]
        if not holders:
            del self.holders[key]

    def cached_tokens(
        self, model: str, parts: tuple[PromptPart, ...]
    ) -> dict[str, tuple[int, int]]:
        """Return the version and the tokens at the start of a prompt by engine that has some.

        A part counts only if the engine has all parts before it.
        """
        found: dict[str, tuple[int, int]] = {}
        for number, part in enumerate(parts):
            holders = self.holders.get((model, part.part_id))
            if holders is None:
                break
            if number == 0:
                found = {name: (version, part.tokens) for name, version in holders.items()}
                whole = set(found)
                continue
            whole = {name for name in whole if holders.get(name) == found[name][0]}
            for name in whole:
                version, tokens = found[name]
                found[name] = (version, tokens + part.tokens)
        return found

    def forget(self, incarnation: str) -> None:
        """Remove all parts of an engine."""
        if incarnation in self.engines:
            for key in list(self.engines[incarnation].parts):
                self.drop(incarnation, key)
            del self.engines[incarnation]

    def clear(self) -> None:
        """Remove all parts of all engines."""
        self.engines.clear()
        self.holders.clear()
