"""The exception tree. Every member knows how to show itself and with what code to exit."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any


class ApricotvaleError(Exception):
    """Base of all errors that are shown to a person."""

    exit_code = 1

    def format_message(self) -> str:
        """Return the text shown to the user."""
        return str(self)


class SettingsError(ApricotvaleError):
    """Settings that cannot be used; it holds every problem found, not only the first."""

    exit_code = 2

    def __init__(self, problems: list[Any]) -> None:
        super().__init__(f"{len(problems)} problem(s) in the settings")
        self.problems = problems

    def format_message(self) -> str:
        """Return a line for each problem."""
        return "\n".join(problem.describe() for problem in self.problems)


class StorageError(ApricotvaleError):
    """Base of the errors of a data folder."""

    exit_code = 3


class DataFolderError(StorageError):
    """A damaged data folder; it is left as it is."""


class DataFormatError(StorageError):
    """A data folder written by a newer version."""

    def __init__(self, found: int, supported: int) -> None:
        super().__init__(f"data format {found} is newer than {supported}; install that version")


class IdentityError(StorageError):
    """A data folder that belongs to another replica."""

    def __init__(self, found: str, expected: str) -> None:
        super().__init__(f"the folder belongs to replica {found!r}, not {expected!r}")


class FolderInUseError(StorageError):
    """A data folder that another process holds."""

    def __init__(self, folder: str) -> None:
        super().__init__(f"{folder} is held by another process; give each replica its own")


class GroupMismatchError(StorageError):
    """Settings that name other replicas than the data folder."""

    def __init__(self, stored: list[str], stated: list[str]) -> None:
        super().__init__(
            f"the folder's group is {', '.join(stored)}, the settings name {', '.join(stated)}; "
            "correct the settings"
        )


class DiskError(StorageError):
    """A write or sync failed; the replica no longer votes."""

    def __init__(self, detail: str, code: int) -> None:
        super().__init__(f"disk failed ({code}): {detail}")
        self.code = code


class MessageError(ApricotvaleError):
    """Bytes that do not decode to the expected message."""

    def __init__(self, kind: Any, detail: str) -> None:
        super().__init__(f"not a {kind}: {detail}")


class BadInputError(ApricotvaleError):
    """A caller's request that cannot be read."""


@contextmanager
def bad_input() -> Iterator[None]:
    """Raise BadInputError for what goes wrong while a caller's request is read."""
    try:
        yield
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise BadInputError(repr(error)) from error


class UnreachableError(ApricotvaleError):
    """No control replica answered, or none that a quorum confirms."""

    exit_code = 4


class RejectedError(ApricotvaleError):
    """The system refused a request; it carries the problem document."""

    exit_code = 5

    def __init__(self, problem: dict[str, Any]) -> None:
        super().__init__(f"{problem.get('type')}: {problem.get('detail', '')}")
        self.problem = problem


class StreamCutError(ApricotvaleError):
    """A stream ended without its end marker."""


class GarbledAnswerError(ApricotvaleError):
    """An upstream's answer that is incomplete or not in its protocol."""
