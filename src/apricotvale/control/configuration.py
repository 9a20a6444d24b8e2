"""The replicated configuration, changed by compare-and-set on its revision.

The base file and the overlays form a single document with one revision.
"""

from __future__ import annotations

from attrs import define, field, frozen

MAX_HISTORY_ENTRIES = 256
MAX_OPERATIONS = 10_000


@frozen
class ConfigDocument:
    """Contents of a base file and of the overlays by site."""

    base: str
    overlays: dict[str, str] = field(factory=dict)


@frozen
class ConfigApplied:
    """The operation's document is committed as this revision."""

    revision: int
    at_ms: int


@frozen
class ConfigConflict:
    """The expected revision is not the current one; nothing changed.

    :param operation_id: operation that set the current revision.
    """

    revision: int
    operation_id: str


@frozen
class ConfigChange:
    """One accepted change."""

    revision: int
    operation_id: str
    at_ms: int
    author: str


@define
class ConfigState:
    """The current document, and the history and results of accepted operations, oldest first."""

    revision: int = 0
    document: ConfigDocument | None = None
    history: list[ConfigChange] = field(factory=list)
    operations: dict[str, ConfigApplied] = field(factory=dict)


class Configuration:
    """Operations on the replicated configuration."""

    def __init__(self, state: ConfigState | None = None) -> None:
        self.state = state or ConfigState()

    def apply(
        self,
        operation_id: str,
        expected_revision: int,
        document: ConfigDocument,
        author: str,
        at_ms: int,
    ) -> ConfigApplied | ConfigConflict:
        """Apply a change if it expects the current revision.

        A resent operation that was already applied returns its first result.
        """
        state = self.state
        previous_result = state.operations.get(operation_id)
        if previous_result is not None:
            return previous_result
        if expected_revision != state.revision:
            last_operation_id = state.history[-1].operation_id if state.history else ""
            return ConfigConflict(state.revision, last_operation_id)
        state.revision += 1
        state.document = document
        state.history.append(ConfigChange(state.revision, operation_id, at_ms, author))
        del state.history[:-MAX_HISTORY_ENTRIES]
        applied = ConfigApplied(state.revision, at_ms)
        state.operations[operation_id] = applied
        while len(state.operations) > MAX_OPERATIONS:
            del state.operations[next(iter(state.operations))]
        return applied
