"""MessagePack encoding of attrs classes, for messages on the wire and records on disk."""

from __future__ import annotations

import types
import zlib
from functools import cache
from typing import Any, Union, get_args, get_origin, get_type_hints

import attrs
from cattrs.preconf.msgpack import make_converter
from cattrs.strategies import configure_tagged_union

from apricotvale.exceptions import EncodingError, MessageError
from apricotvale.mechanisms import Mechanism, is_on

# Messages from this size are compressed. Level 1 takes about 10 ms for a megabyte of text; higher
# levels take longer and save little more.
MIN_COMPRESSED_BYTES = 1_024
COMPRESSION_LEVEL = 1
# First byte of compressed data. An encoded message is a map, which never begins with it.
COMPRESSED_MARK = b"\x78"
# Bound of a message after decompression.
MAX_MESSAGE_BYTES = 256 * 1024 * 1024

converter = make_converter(omit_if_default=True)


@cache
def register_unions(kind: Any) -> None:
    """Configure every union in a type to be encoded with the class name of its member."""
    if attrs.has(kind):
        for hint in get_type_hints(kind).values():
            register_unions(hint)
        return
    for argument in get_args(kind):
        register_unions(argument)
    if is_message_union(kind):
        configure_tagged_union(kind, converter)


def is_message_union(kind: Any) -> bool:
    """Return whether a type is a union of at least two message classes."""
    if get_origin(kind) not in (Union, types.UnionType):
        return False
    return sum(attrs.has(member) for member in get_args(kind)) > 1


def with_unions(kind: Any) -> Any:
    """Return a type unchanged, after registering the unions in it."""
    register_unions(kind)
    return kind


def encode(message: Any, kind: Any) -> bytes:
    """Encode a message.

    :param message: an instance of `kind`, or of a member of the union `kind`.
    :param kind: class or union with which the receiver decodes it.
    :raises EncodingError: if a number or text of the message cannot be encoded.
    """
    try:
        return converter.dumps(message, unstructure_as=with_unions(kind))
    except (OverflowError, ValueError) as error:
        raise EncodingError(type(message).__name__, repr(error)) from error


def decode(data: bytes, kind: Any) -> Any:
    """Decode a message that was encoded as `kind`.

    :raises MessageError: if the data is not a message of this type.
    """
    try:
        return converter.loads(data, with_unions(kind))
    except Exception as error:
        raise MessageError(kind, repr(error)) from error


def pack(message: Any, kind: Any) -> bytes:
    """Encode a message like `encode`, and compress it if it is large and becomes smaller.

    :raises EncodingError: if a number or text of the message cannot be encoded.
    """
    data = encode(message, kind)
    if len(data) < MIN_COMPRESSED_BYTES or not is_on(Mechanism.COMPRESSION):
        return data
    compressed = zlib.compress(data, COMPRESSION_LEVEL)
    return compressed if len(compressed) < len(data) else data


def unpack(data: bytes, kind: Any) -> Any:
    """Decode a message that was encoded by `pack` or `encode`.

    :raises MessageError: if the data is not a message of this type, or has more than
        `MAX_MESSAGE_BYTES`.
    """
    if not data.startswith(COMPRESSED_MARK):
        return decode(data, kind)
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise MessageError(kind, repr(error)) from error
    if not stream.eof or stream.unused_data:
        raise MessageError(kind, "the compressed data is too long, or has no end")
    return decode(content, kind)
