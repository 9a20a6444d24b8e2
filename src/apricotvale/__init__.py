"""A rollout service for reinforcement learning that runs alongside live traffic."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from apricotvale.client import Sample, TrainerClient
    from apricotvale.exceptions import (
        ApricotvaleError,
        RejectedError,
        SettingsError,
        StorageError,
        UnreachableError,
    )
    from apricotvale.outcomes import Ran, Reason, Refusal

__all__ = [
    "ApricotvaleError",
    "Ran",
    "Reason",
    "Refusal",
    "RejectedError",
    "Sample",
    "SettingsError",
    "StorageError",
    "TrainerClient",
    "UnreachableError",
]
__version__ = "0.1.0"

MODULE_BY_NAME = {
    "Sample": "client",
    "TrainerClient": "client",
    "Ran": "outcomes",
    "Reason": "outcomes",
    "Refusal": "outcomes",
}


def __getattr__(name: str) -> Any:
    """Import a public name when it is first used.

    A process opens its port before it imports the rest (`early_listener`), so that importing the
    package itself must not import its modules.
    """
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = import_module(f"{__name__}.{MODULE_BY_NAME.get(name, 'exceptions')}")
    return getattr(module, name)
