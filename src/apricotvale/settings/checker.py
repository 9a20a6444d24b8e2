"""Conversion of parsed documents to settings objects, with all problems reported together."""

from __future__ import annotations

import types
from enum import Enum
from typing import Any, Union, get_args, get_origin, get_type_hints

import attrs
from attrs import field, frozen


def option(
    summary: str, default: Any = ..., least: float | None = None, most: float | None = None
) -> Any:
    """Return an attrs field with a description and bounds in its metadata.

    :param summary: meaning of the setting, as shown on the settings page.
    :param default: default value, or a class to call for it; required if left out.
    :param least: smallest valid value of a number.
    :param most: largest valid value of a number.
    """
    metadata = {"summary": summary, "least": least, "most": most}
    if default is ...:
        return field(metadata=metadata)
    if isinstance(default, type):
        return field(factory=default, metadata=metadata)
    return field(default=default, metadata=metadata)


@frozen
class Problem:
    """An invalid value in a settings file.

    :param key: dotted path of the value; empty for the file as a whole.
    :param expected: description of a valid value.
    """

    file: str
    key: str
    value: Any
    expected: str

    def describe(self) -> str:
        """Return a one-line description for the user."""
        return f"{self.file}: {self.key} = {self.value!r}: expected {self.expected}"


class Checker:
    """Converts a parsed document to settings objects and collects its problems.

    :param file: file name to report.
    """

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[Problem] = []

    def report(self, key: str, value: Any, expected: str) -> None:
        """Record a problem."""
        self.problems.append(Problem(self.file, key, value, expected))

    def build(self, kind: Any, value: Any, key: str) -> Any:
        """Convert a value to type `kind`; report a problem and return None if it is invalid."""
        origin = get_origin(kind)
        if origin in (Union, types.UnionType):
            return self.build(get_args(kind)[0], value, key)
        if attrs.has(kind):
            return self.build_table(kind, value, key)
        if origin is list:
            return self.build_list(get_args(kind)[0], value, key)
        if origin is dict:
            return self.build_dict(get_args(kind)[1], value, key)
        if isinstance(kind, type) and issubclass(kind, Enum):
            return self.build_enum(kind, value, key)
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            self.report(key, value, f"a value of type {kind.__name__}")
            return None
        return value

    def build_table(self, kind: Any, value: Any, key: str) -> Any:
        """Convert a table to a settings object."""
        if not isinstance(value, dict):
            self.report(key, value, "a table")
            return None
        hints = get_type_hints(kind)
        fields = {attribute.name: attribute for attribute in attrs.fields(kind)}
        count = len(self.problems)
        for unknown in sorted(set(value) - set(fields)):
            self.report(join_key(key, unknown), value[unknown], f"one of {', '.join(fields)}")
        arguments = {}
        for name, attribute in fields.items():
            if name in value:
                arguments[name] = self.build(hints[name], value[name], join_key(key, name))
                self.check_bounds(attribute, arguments[name], join_key(key, name))
            elif attribute.default is attrs.NOTHING:
                self.report(join_key(key, name), None, f"a value: {attribute.metadata['summary']}")
        return kind(**arguments) if len(self.problems) == count else None

    def check_bounds(self, attribute: Any, value: Any, key: str) -> None:
        """Report a number outside the bounds of its setting; NaN is outside all bounds."""
        least, most = attribute.metadata.get("least"), attribute.metadata.get("most")
        if not isinstance(value, int | float):
            return
        if least is not None and not value >= least:
            self.report(key, value, f"at least {least}")
        if most is not None and not value <= most:
            self.report(key, value, f"at most {most}")

    def build_list(self, kind: Any, value: Any, key: str) -> Any:
        """Convert each item of a list to type `kind`."""
        if not isinstance(value, list):
            self.report(key, value, "a list")
            return None
        return [self.build(kind, item, f"{key}[{index}]") for index, item in enumerate(value)]

    def build_dict(self, kind: Any, value: Any, key: str) -> Any:
        """Convert each value of a table to type `kind`."""
        if not isinstance(value, dict):
            self.report(key, value, "a table")
            return None
        return {name: self.build(kind, item, join_key(key, name)) for name, item in value.items()}

    def build_enum(self, kind: type[Enum], value: Any, key: str) -> Any:
        """Convert a string to a member of an enumeration."""
        names = [member.value for member in kind]
        if value not in names:
            self.report(key, value, f"one of {', '.join(names)}")
            return None
        return kind(value)


def join_key(key: str, name: str) -> str:
    """Append a name to a dotted key."""
    return f"{key}.{name}" if key else name
