"""Refusals: values that stand for the answer to a request that was refused or failed."""

from __future__ import annotations

from enum import StrEnum

from attrs import frozen

from apricotvale.limits.types import StatedLimit


class Ran(StrEnum):
    """Whether a refused or failed request was executed at an upstream."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Reason(StrEnum):
    """Why a request was refused or failed."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_TRAINER = "unknown_trainer"
    UNKNOWN_STEP = "unknown_step"
    DEADLINE_EXPIRED = "deadline_expired"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    OLD_REVISION = "old_revision"
    WRONG_INCARNATION = "wrong_incarnation"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_GARBLED = "upstream_garbled"
    NO_QUORUM = "no_quorum"
    KEY_REUSED = "key_reused"
    KEYS_FULL = "keys_full"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TOMBSTONED = "tombstoned"
    STALE_PULL = "stale_pull"
    ISLAND = "island"
    UNKNOWN_KEY = "unknown_key"
    JOB_ID_TAKEN = "job_id_taken"
    NO_CAPACITY = "no_capacity"
    RATE_LIMITED = "rate_limited"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    UNKNOWN_ORIGIN = "unknown_origin"


STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.UNKNOWN_TRAINER: 404,
    Reason.UNKNOWN_STEP: 404,
    Reason.DEADLINE_EXPIRED: 504,
    Reason.OVERLOADED: 429,
    Reason.NO_CAPACITY: 429,
    Reason.RATE_LIMITED: 429,
    Reason.KEY_REUSED: 422,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.UPSTREAM_LOST: 502,
    Reason.UPSTREAM_GARBLED: 502,
    Reason.STALE_PULL: 409,
    Reason.UNKNOWN_KEY: 401,
    Reason.JOB_ID_TAKEN: 409,
}
DEFAULT_STATUS = 503
RETRY_AFTER_S = 1.0


@frozen
class Refusal:
    """The refusal or failure of a request.

    :param ran: whether the request was executed.
    :param retry_after_s: delay before the caller may retry, in seconds.
    :param is_leaving: whether the upstream stated in its answer that it leaves.
    :param limit: what the upstream's answer says about its limit, None if that is not known.
    """

    reason: Reason
    ran: Ran
    detail: str = ""
    retry_after_s: float | None = None
    is_leaving: bool = False
    limit: StatedLimit | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status of the refusal."""
        if self.reason is Reason.CRASHES_UPSTREAMS and self.ran is not Ran.NOT_RUN:
            return STATUS_BY_REASON[Reason.UPSTREAM_LOST]
        return STATUS_BY_REASON.get(self.reason, DEFAULT_STATUS)

    def problem(self, request_id: str = "") -> dict[str, object]:
        """Return the problem document (RFC 9457) for the caller."""
        document: dict[str, object] = {
            "type": f"urn:apricotvale:{self.reason.value}",
            "title": self.reason.value.replace("_", " "),
            "status": self.status,
            "ran": self.ran.value,
            "detail": self.detail,
            "request_id": request_id,
        }
        if self.retry_after_s is not None:
            document["retry_after_s"] = self.retry_after_s
        return document


def not_run(reason: Reason, detail: str = "", retry_after_s: float | None = None) -> Refusal:
    """Return a refusal of a request that was not executed."""
    return Refusal(reason, Ran.NOT_RUN, detail, retry_after_s)


def unknown(reason: Reason, detail: str = "") -> Refusal:
    """Return a failure of a request that may have been executed."""
    return Refusal(reason, Ran.UNKNOWN, detail)


def crashes_upstreams(can_have_run: bool, left_s: float) -> Refusal:
    """Return the refusal of a request that ends the upstreams that run it.

    :param can_have_run: whether a copy of this submission was sent.
    :param left_s: time until the request may be sent again.
    """
    detail = "upstreams ended while they ran this request"
    if can_have_run:
        return unknown(Reason.CRASHES_UPSTREAMS, detail)
    return not_run(Reason.CRASHES_UPSTREAMS, detail, round(max(0.0, left_s), 1))
