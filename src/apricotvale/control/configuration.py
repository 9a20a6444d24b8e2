"""The replicated configuration: base and overlays as one revision, changed by compare-and-set."""

from __future__ import annotations

from attrs import define, field, frozen

HISTORY = 256
OPERATIONS = 10_000


@frozen
class ConfigDocument:
    """Texts of a base file and of the overlays by site."""

    base: str
    overlays: dict[str, str] = field(factory=dict)


@frozen
class ConfigApplied:
    """The operation's document is committed as this revision."""

    revision: int
    at_ms: int


@frozen
class ConfigConflict:
    """Another operation came first; nothing changed."""

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
    """The document in force and the accepted operations, newest last."""

    revision: int = 0
    document: ConfigDocument | None = None
    history: list[ConfigChange] = field(factory=list)
    operations: dict[str, ConfigApplied] = field(factory=dict)


class Configuration:
    """Rules of configuration changes."""

    def __init__(self, state: ConfigState | None = None) -> None:
        self.state = state or ConfigState()

    def apply(
        self, operation_id: str, expected: int, document: ConfigDocument, author: str, at_ms: int
    ) -> ConfigApplied | ConfigConflict:
        """Take a change if it expects the current revision, or answer a resend as before."""
        state = self.state
        earlier = state.operations.get(operation_id)
        if earlier is not None:
            return earlier
        if expected != state.revision:
            winner = state.history[-1].operation_id if state.history else ""
            return ConfigConflict(state.revision, winner)
        state.revision += 1
        state.document = document
        state.history.append(ConfigChange(state.revision, operation_id, at_ms, author))
        del state.history[:-HISTORY]
        applied = ConfigApplied(state.revision, at_ms)
        state.operations[operation_id] = applied
        while len(state.operations) > OPERATIONS:
            del state.operations[next(iter(state.operations))]
        return applied
