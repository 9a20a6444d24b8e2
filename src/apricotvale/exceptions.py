"""The exception hierarchy. Each exception formats its message and defines an exit code."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any


class ApricotvaleError(Exception):
    """Base class of all errors that are shown to the user."""

    exit_code = 1

    def format_message(self) -> str:
        """Return the message shown to the user."""
        return str(self)


class SettingsError(ApricotvaleError):
    """Invalid settings.

    :param problems: every problem found, not only the first.
    """

    exit_code = 2

    def __init__(self, problems: list[Any]) -> None:
        super().__init__(f"invalid settings: {len(problems)} problem(s)")
        self.problems = problems

    def format_message(self) -> str:
        """Return one line per problem."""
        return "\n".join(problem.describe() for problem in self.problems)


class StorageError(ApricotvaleError):
    """Base class of errors of a data folder."""

    exit_code = 3


class DataFolderError(StorageError):
    """A damaged data folder, which is left unchanged."""


class DataFormatError(StorageError):
    """A data folder written by a newer version of the software."""

    def __init__(self, found: int, supported: int) -> None:
        super().__init__(
            f"data format {found} is newer than the supported format {supported}; "
            "install the version that wrote it"
        )


class IdentityError(StorageError):
    """A data folder that belongs to another replica."""

    def __init__(self, found: str, expected: str) -> None:
        super().__init__(f"data folder belongs to replica {found!r}, not to {expected!r}")


class FolderInUseError(StorageError):
    """A data folder that is in use by another process."""

    def __init__(self, folder: str) -> None:
        super().__init__(
            f"data folder {folder} is in use by another process; "
            "give each replica its own folder"
        )


class GroupMismatchError(StorageError):
    """Settings whose replicas differ from those stored in the data folder."""

    def __init__(self, stored: list[str], configured: list[str]) -> None:
        super().__init__(
            f"data folder has replicas {', '.join(stored)}, settings have {', '.join(configured)}; "
            "correct the settings"
        )


class DiskError(StorageError):
    """A failed read, write or sync, after which the replica no longer votes.

    :param code: errno of the failure, 0 if it has none.
    """

    def __init__(self, detail: str, code: int) -> None:
        super().__init__(f"disk read, write or sync failed (errno {code}): {detail}")
        self.code = code


class MessageError(ApricotvaleError):
    """Data that cannot be decoded as a message of the expected type."""

    def __init__(self, kind: Any, detail: str) -> None:
        super().__init__(f"cannot decode data as {kind}: {detail}")


class EncodingError(ApricotvaleError):
    """A message with a value that cannot be encoded."""

    def __init__(self, kind: Any, detail: str) -> None:
        super().__init__(f"cannot encode a message of type {kind}: {detail}")


class BadInputError(ApricotvaleError):
    """A malformed request of a caller."""


@contextmanager
def bad_input() -> Iterator[None]:
    """Convert the errors of parsing a caller's request to BadInputError."""
    try:
        yield
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise BadInputError(repr(error)) from error


class UnreachableError(ApricotvaleError):
    """A call without an answer, or without one that a quorum confirms."""

    exit_code = 4


class RejectedError(ApricotvaleError):
    """A request that the system refused.

    :param problem: problem document of the refusal.
    """

    exit_code = 5

    def __init__(self, problem: dict[str, Any]) -> None:
        super().__init__(f"{problem.get('type')}: {problem.get('detail', '')}")
        self.problem = problem


class TruncatedStreamError(ApricotvaleError):
    """A stream that ended before its end marker."""


class UnwantedVersionError(TruncatedStreamError):
    """An event of a weight version that may not generate the output.

    :param version: the weight version.
    """

    def __init__(self, version: int, why: str) -> None:
        super().__init__(f"weight version {version} is not accepted: {why}")
        self.version = version


class MalformedResponseError(ApricotvaleError):
    """An upstream's response that is incomplete or violates its protocol."""
