"""A rollout service for reinforcement learning that runs alongside live traffic."""

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
