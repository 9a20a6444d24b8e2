"""Encoding of typed messages for the wire and for disk: attrs classes as MessagePack."""

from __future__ import annotations

import types
from functools import cache
from typing import Any, Union, get_args, get_origin, get_type_hints

import attrs
from cattrs.preconf.msgpack import make_converter
from cattrs.strategies import configure_tagged_union

from apricotvale.exceptions import MessageError

converter = make_converter(omit_if_default=True)


@cache
def register(kind: Any) -> None:
    """Tag the members of every union found in a type with their class names."""
    if attrs.has(kind):
        for hint in get_type_hints(kind).values():
            register(hint)
        return
    for argument in get_args(kind):
        register(argument)
    if is_message_union(kind):
        configure_tagged_union(kind, converter)


def is_message_union(kind: Any) -> bool:
    """Return whether a type is a union of message classes."""
    if get_origin(kind) not in (Union, types.UnionType):
        return False
    return sum(attrs.has(member) for member in get_args(kind)) > 1


def prepare(kind: Any) -> Any:
    """Return a type after registering the unions in it."""
    register(kind)
    return kind


def encode(message: Any, kind: Any) -> bytes:
    """Return a message as bytes.

    :param message: an instance of `kind`, or of a member of the union `kind`.
    :param kind: the class or union under which the other side decodes it.
    """
    return converter.dumps(message, unstructure_as=prepare(kind))


def decode(data: bytes, kind: Any) -> Any:
    """Return the message that `encode` made bytes of; raise MessageError for anything else."""
    try:
        return converter.loads(data, prepare(kind))
    except Exception as error:
        raise MessageError(kind, repr(error)) from error
