"""Decides whether bytes are an answer in HTTP/1.1: heads, chunked bodies and where an answer ends.

HTTP libraries parse answers leniently: they drop blanks from names, join folded lines, or choose
between two framings. Here an answer has one reading or none (RFC 9110, section 5, and RFC 9112,
sections 3 to 7). The module does no I/O and parses no further than that.
"""

from __future__ import annotations

import re
from collections.abc import Callable

from attrs import define, field

# HTTP libraries set closer bounds on single lines and on their number.
MAX_SECTION_BYTES = 1024 * 1024
MAX_CHUNK_LINE_BYTES = 16 * 1024
SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204
NOT_MODIFIED = 304

TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
TEXT = rb"[\t \x21-\x7e\x80-\xff]*"
STATUS_LINE = rb"HTTP/1\.[01] [1-5][0-9]{2}(?: " + TEXT + rb")?\r\n"
FIELD_LINE = TOKEN + rb":" + TEXT + rb"\r\n"
HEAD = re.compile(STATUS_LINE + rb"(?:" + FIELD_LINE + rb")*\r\n")
TRAILERS = re.compile(rb"(?:" + FIELD_LINE + rb")*\r\n")
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:[\t ]*;" + TEXT + rb")?\r\n")
LENGTH = re.compile(rb"[0-9]{1,18}")
STATUS_LINE_PATTERN = re.compile(STATUS_LINE)
FIELD_LINE_PATTERN = re.compile(FIELD_LINE)
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
LINE_END = b"\r\n"
SECTION_END = b"\r\n\r\n"
PROTOCOL = b"HTTP/"

TRANSFER_ENCODING = b"transfer-encoding"
CONTENT_LENGTH = b"content-length"


def find_fields(*names: bytes) -> re.Pattern[bytes]:
    """Return a pattern that finds the fields of a valid head that an answer may have once.

    :param names: names in lower case, besides those of the fields that delimit the body.
    """
    found = b"|".join(map(re.escape, (TRANSFER_ENCODING, CONTENT_LENGTH, *names)))
    return re.compile(rb"\n((?i:" + found + rb")):[\t ]*([^\r]*)")


FRAMING = find_fields()


class AnswerSyntaxError(Exception):
    """Bytes are no answer in HTTP/1.1; the message says which part."""


@define(eq=False)
class AnswerSyntax:
    """Checks the bytes of one answer as they arrive, interim answers before it included.

    :param single_fields: finds the fields that an answer may have once.
    :param has_body: whether the request's method allows the answer to have a body.
    :param has_head: whether the head of the final answer has arrived.
    :param is_complete: whether the answer has ended; never so if it ends with its connection.
    """

    single_fields: re.Pattern[bytes] = FRAMING
    has_body: bool = True
    has_head: bool = False
    is_complete: bool = False
    step: Callable[[bytes, int], int] = field(init=False)
    # The beginning of a head, a chunk line or trailers whose end has not arrived.
    partial: bytearray = field(init=False, factory=bytearray)
    # Bytes to come of a body with a length, or of a chunk.
    left: int = field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self.step = self.read_head

    def feed(self, data: bytes) -> int:
        """Check the next bytes; return how many of them belong to the answer.

        :raises AnswerSyntaxError: if they are no answer; nothing may be fed afterwards.
        """
        position = 0
        while position < len(data) and not self.is_complete:
            position = self.step(data, position)
        return position

    # Heads

    def read_head(self, data: bytes, position: int) -> int:
        """Read a head, and decide how its body ends."""
        head, end = self.take_section(data, position, SECTION_END, "head")
        if head is None:
            return end
        if not HEAD.fullmatch(head):
            raise AnswerSyntaxError(describe_head(head))
        status = int(head[9:12])
        framing = self.read_fields(head)
        if status == SWITCHING_PROTOCOLS:
            raise AnswerSyntaxError("status 101 without a request for another protocol")
        bodiless = status < 200 or status == NO_CONTENT
        if bodiless and (TRANSFER_ENCODING in framing or framing.get(CONTENT_LENGTH, 0)):
            raise AnswerSyntaxError(f"a body in an answer with status {status}")
        if status < 200:
            return end
        self.has_head = True
        if bodiless or status == NOT_MODIFIED or not self.has_body:
            self.is_complete = True
        elif TRANSFER_ENCODING in framing:
            self.step = self.read_chunk_line
        elif CONTENT_LENGTH in framing:
            self.left = framing[CONTENT_LENGTH]
            self.is_complete = not self.left
            self.step = self.read_counted
        else:
            self.step = self.read_until_close
        return end

    def read_fields(self, head: bytes) -> dict[bytes, int]:
        """Return the framing fields of a valid head, with the length if it is stated.

        :raises AnswerSyntaxError: if the framing has more than one reading, or a field that may be
            there once is repeated.
        """
        fields: dict[bytes, bytes] = {}
        for name, value in self.single_fields.findall(head):
            key = name.lower()
            if key in fields:
                raise AnswerSyntaxError(f"the field {key.decode()} is repeated")
            fields[key] = value.rstrip(b"\t ")
        framing: dict[bytes, int] = {}
        for key, value in fields.items():
            if key == CONTENT_LENGTH:
                if not LENGTH.fullmatch(value):
                    raise AnswerSyntaxError("the content length is no number")
                framing[key] = int(value)
            elif key == TRANSFER_ENCODING:
                if value.lower() != b"chunked" or head.startswith(b"HTTP/1.0"):
                    raise AnswerSyntaxError("a transfer coding other than chunked alone")
                framing[key] = 0
        if len(framing) > 1:
            raise AnswerSyntaxError("both a content length and a transfer coding")
        return framing

    def take_section(
        self, data: bytes, position: int, mark: bytes, what: str
    ) -> tuple[bytes | None, int]:
        """Return a section up to its end mark, and the position after it.

        Without the mark, the bytes are kept for the next call, and None is returned.
        """
        known = len(self.partial)
        if not known:
            end = data.find(mark, position)
            if end >= 0:
                end += len(mark)
                return data[position:end], end
        self.partial += data[position:]
        end = self.partial.find(mark, max(0, known - len(mark) + 1))
        if end < 0:
            # A lenient parser may take a single line feed for the end of a line.
            if BARE_LINE_FEED.search(self.partial, max(0, known - 1)):
                raise AnswerSyntaxError(f"a line feed alone in the {what}")
            if len(self.partial) > MAX_SECTION_BYTES:
                raise AnswerSyntaxError(f"a {what} of more than {MAX_SECTION_BYTES} bytes")
            return None, len(data)
        end += len(mark)
        section = bytes(self.partial[:end])
        self.partial.clear()
        return section, position + end - known

    # Bodies

    def read_until_close(self, data: bytes, position: int) -> int:
        """Read a body that ends with its connection."""
        return len(data)

    def read_counted(self, data: bytes, position: int) -> int:
        """Read a body with a stated length."""
        size = min(self.left, len(data) - position)
        self.left -= size
        self.is_complete = not self.left
        return position + size

    def read_chunk_line(self, data: bytes, position: int) -> int:
        """Read the line before the bytes of a chunk."""
        if not self.partial:
            match = CHUNK_LINE.match(data, position)
            if match is not None:
                return self.begin_chunk(match, data)
        end = data.find(b"\n", position) + 1
        line = data[position : end or len(data)]
        if self.partial or not end:
            self.partial += line
            if len(self.partial) > MAX_CHUNK_LINE_BYTES:
                raise AnswerSyntaxError(f"a chunk line of more than {MAX_CHUNK_LINE_BYTES} bytes")
            if not end:
                return len(data)
            line = bytes(self.partial)
            self.partial.clear()
        match = CHUNK_LINE.fullmatch(line)
        if match is None:
            raise AnswerSyntaxError("a malformed chunk line")
        self.left = int(match[1], 16)
        self.step = self.read_chunk if self.left else self.read_trailers
        return end

    def begin_chunk(self, match: re.Match[bytes], data: bytes) -> int:
        """Begin a chunk whose line has arrived at once; mostly, all of it has."""
        size, end = int(match[1], 16), match.end()
        if size and data.startswith(LINE_END, end + size):
            return end + size + len(LINE_END)
        self.left = size
        self.step = self.read_chunk if size else self.read_trailers
        return end

    def read_chunk(self, data: bytes, position: int) -> int:
        """Read the bytes of a chunk."""
        size = min(self.left, len(data) - position)
        self.left -= size
        if not self.left:
            self.step = self.read_chunk_end
        return position + size

    def read_chunk_end(self, data: bytes, position: int) -> int:
        """Read the line end after the bytes of a chunk."""
        expected = LINE_END[len(self.partial) :]
        found = data[position : position + len(expected)]
        if not expected.startswith(found):
            raise AnswerSyntaxError("a chunk that is longer than its size, or has no line end")
        self.partial += found
        if len(self.partial) == len(LINE_END):
            self.partial.clear()
            self.step = self.read_chunk_line
        return position + len(found)

    def read_trailers(self, data: bytes, position: int) -> int:
        """Read the trailers of a chunked body, which are no part of the answer."""
        start = LINE_END[len(self.partial) :]
        if LINE_END.startswith(self.partial) and data.startswith(start, position):
            self.partial.clear()
            self.is_complete = True
            return position + len(start)
        trailers, end = self.take_section(data, position, SECTION_END, "trailer section")
        if trailers is not None:
            if not TRAILERS.fullmatch(trailers):
                raise AnswerSyntaxError("a malformed trailer")
            self.is_complete = True
        return end


def may_begin_answer(data: bytes) -> bool:
    """Return whether bytes behind an answer may begin another one, after empty lines."""
    start = data.lstrip(LINE_END)[: len(PROTOCOL)]
    return PROTOCOL.startswith(start)


def describe_head(head: bytes) -> str:
    """Return which part of a head is malformed, without what it says."""
    status_line, *field_lines = head.removesuffix(LINE_END).splitlines(keepends=True)
    if not STATUS_LINE_PATTERN.fullmatch(status_line):
        return "a malformed status line"
    for number, line in enumerate(field_lines, 1):
        if not FIELD_LINE_PATTERN.fullmatch(line):
            name, colon, _ = line.partition(b":")
            if not colon or not re.fullmatch(TOKEN, name):
                return f"a malformed name in field line {number}"
            return f"a control byte in the value of field line {number}"
    return "an empty line in the head"
