"""What an upstream states about its limit."""

from __future__ import annotations

from attrs import frozen


@frozen
class StatedLimit:
    """What one answer of an upstream says about its limit.

    :param rate: requests in a second that the upstream takes from all processes together, None if
        it takes any number.
    """

    rate: float | None
