"""At-most-once execution of non-idempotent requests.

A request is claimed by a quorum commit and sent once; resends are answered from the record.
"""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import define, evolve, field

from apricotvale import clock, events
from apricotvale.control import commands as c
from apricotvale.daemons import headers as h
from apricotvale.daemons.dispatch import Dispatcher
from apricotvale.daemons.link import ControlClient
from apricotvale.daemons.supervision import Supervision
from apricotvale.daemons.upstreams import Answer, SidecarRequest
from apricotvale.hashing import digest
from apricotvale.membership.roster import Member
from apricotvale.outcomes import RETRY_AFTER_S, Ran, Reason, Refusal, not_run, unknown
from apricotvale.requests.claims import (
    Claim,
    ClaimGranted,
    ClaimHeld,
    ClaimPhase,
    ClaimsFull,
    KeyReused,
    OutcomeRecord,
)
from apricotvale.requests.routing import Choice

MAX_ATTEMPTS = 8
CLAIM_TIMEOUT_S = 3.0
UNREACHABLE_CLAIM_TIMEOUT_S = 0.25
RESOLVE_PATH = "/claims/resolve"


def request_digest(request: SidecarRequest) -> str:
    """Return a digest of a request's method, path and body."""
    method = request.headers.get("X-Method", "")
    head = f"{method} {request.path}\n".encode()
    return digest(head + request.body)


@define
class ClaimRunner:
    """Runs the non-idempotent requests of one entry.

    :param control: client for commits to control.
    :param entry: name of the entry.
    :param control_reachable: returns whether control has confirmed the view within the lease.
    """

    control: ControlClient
    dispatcher: Dispatcher
    entry: str
    control_reachable: Callable[[], bool] = field(default=lambda: True)

    async def run(
        self,
        key: str,
        request: SidecarRequest,
        candidates: Callable[[], list[Member]],
        limit: int,
        window_ms: int,
        resendable: bool = True,
        supervision: Supervision | None = None,
    ) -> Answer | Refusal:
        """Run a request at most once, regardless of how often its key is sent.

        If control does not answer, the outcome of a request that may be a resend is unknown,
        because its first attempt may have run.

        :param key: idempotency key, prefixed with the service.
        :param candidates: returns the currently eligible members.
        :param limit: maximum number of keys recorded.
        :param window_ms: time for which the key is recorded.
        :param resendable: whether the caller chose the key and may have sent it before.
        :param supervision: what is known against the request, and its trial; None for a request
            that is not held responsible for the end of an upstream.
        """
        choice = await self.choose(candidates, request, set(), supervision)
        if isinstance(choice, Refusal):
            return await self.replay_recorded(
                key, request, choice, candidates, resendable, supervision
            )
        claim = Claim(
            key=key,
            digest=request_digest(request),
            upstream=choice.member.name,
            incarnation=choice.member.incarnation,
            attempt=1,
            claimant=f"{self.entry}/{uuid.uuid4().hex}",
        )
        result = await self.propose(c.MakeClaim(claim, limit, window_ms), request)
        if isinstance(result, KeyReused):
            return not_run(
                Reason.KEY_REUSED, "the idempotency key was already used for a different request"
            )
        if isinstance(result, ClaimsFull):
            return not_run(Reason.KEYS_FULL, retry_after_s=RETRY_AFTER_S)
        if isinstance(result, Refusal) and resendable:
            return evolve(result, ran=Ran.UNKNOWN)
        return await self.execute(result, request, candidates, supervision)

    async def choose(
        self,
        candidates: Callable[[], list[Member]],
        request: SidecarRequest,
        tried: set[str],
        supervision: Supervision | None,
    ) -> Choice | Refusal:
        """Choose an upstream, once the request may be sent: under suspicion, that of its trial."""
        if supervision is None:
            return self.dispatcher.choose(candidates(), request, "", tried)

        def rank() -> list[str]:
            ranked = self.dispatcher.rank(candidates(), "", tried)
            return [] if isinstance(ranked, Refusal) else ranked

        while True:
            upstream = await supervision.obtain(rank)
            if isinstance(upstream, Refusal):
                return upstream
            found = [m for m in candidates() if not upstream or m.incarnation == upstream]
            if found or not upstream:
                return self.dispatcher.choose(found, request, "", tried)
            # It left while the trial was asked for.
            supervision.give_back()

    async def replay_recorded(
        self,
        key: str,
        request: SidecarRequest,
        refusal: Refusal,
        candidates: Callable[[], list[Member]],
        resendable: bool,
        supervision: Supervision | None,
    ) -> Answer | Refusal:
        """Answer from the record of a claimed key when it may not be sent now, or refuse."""
        if not resendable:
            return refusal
        result = await self.propose(c.LookUpClaim(key, request_digest(request)), request)
        if isinstance(result, ClaimHeld):
            return await self.execute(result, request, candidates, supervision)
        if isinstance(result, Refusal):
            return evolve(result, ran=Ran.UNKNOWN)
        return refusal

    async def propose(self, command: Any, request: SidecarRequest) -> Any:
        """Commit a command that concerns a claim, within the request's deadline.

        If control is reachable, the time-out is long enough for a leader election; otherwise it
        allows one short attempt.
        """
        timeout_s = CLAIM_TIMEOUT_S if self.control_reachable() else UNREACHABLE_CLAIM_TIMEOUT_S
        deadline = min(request.deadline, time.monotonic() + timeout_s)
        return await self.control.propose(command, deadline)

    async def execute(
        self,
        result: Any,
        request: SidecarRequest,
        candidates: Callable[[], list[Member]],
        supervision: Supervision | None,
    ) -> Answer | Refusal:
        """Send a granted claim or resolve a held one.

        If an upstream refuses the request without running it, the claim is reassigned to another.
        """
        tried: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            if isinstance(result, ClaimGranted):
                answer = await self.send(result.claim, request, supervision)
            elif isinstance(result, ClaimHeld):
                answer = await self.resolve(result.claim, request)
            elif isinstance(result, Refusal):
                return result
            else:
                return unknown(
                    Reason.OUTCOME_UNKNOWN,
                    "the idempotency key is no longer recorded: its window has passed",
                )
            if isinstance(answer, Answer) or answer.ran is not Ran.NOT_RUN:
                return answer
            if time.monotonic() >= request.deadline or answer.reason is Reason.DEADLINE_EXPIRED:
                return answer
            tried.add(result.claim.incarnation)
            choice = await self.choose(candidates, request, tried, supervision)
            if isinstance(choice, Refusal):
                return answer
            result = await self.reassign(result.claim, choice, request)
        return unknown(
            Reason.OUTCOME_UNKNOWN,
            f"the claim was reassigned {MAX_ATTEMPTS} times without an answer",
        )

    async def reassign(self, claim: Claim, choice: Choice, request: SidecarRequest) -> Any:
        """Reassign a claim to another upstream after the first one did not run the request."""
        command = c.ReassignClaim(
            claim.key,
            claim.attempt,
            choice.member.name,
            choice.member.incarnation,
            f"{self.entry}/{uuid.uuid4().hex}",
        )
        return await self.propose(command, request)

    async def send(
        self, claim: Claim, request: SidecarRequest, supervision: Supervision | None
    ) -> Answer | Refusal:
        """Send a granted claim to its upstream."""
        events.emit(
            events.CLAIM_GRANTED,
            request=request.request_id,
            key=claim.key,
            attempt=claim.attempt,
            upstream=claim.upstream,
        )
        member = self.dispatcher.view.members.get(claim.upstream)
        if member is None or member.incarnation != claim.incarnation:
            return not_run(
                Reason.NO_UPSTREAM, f"upstream {claim.upstream} left or restarted before the send"
            )
        claimed_request = evolve(request, headers={**request.headers, h.TOKEN: claim.token})
        work = self.dispatcher.upstreams.send(member, claimed_request)
        if supervision is None:
            answer = await work
        else:
            answer = await self.supervise(supervision, member, work)
        if not isinstance(answer, Refusal):
            return answer  # type: ignore[return-value]
        self.dispatcher.handle_refusal(member, answer)
        return answer

    async def supervise(
        self, supervision: Supervision, member: Member, work: Coroutine[Any, Any, Any]
    ) -> Any:
        """Return the result of a send; see to it that the end of its upstream is known."""
        sent_at = clock.now()
        copy = asyncio.ensure_future(work)
        try:
            answer = await supervision.watch(copy, member.incarnation)
        finally:
            copy.cancel()
        if isinstance(answer, Refusal) and answer.reason is Reason.UPSTREAM_LOST:
            await supervision.on_loss(member, sent_at)
        supervision.finish_copy(not isinstance(answer, Refusal))
        return answer

    async def resolve(self, claim: Claim, request: SidecarRequest) -> Answer | Refusal:
        """Return the outcome of an earlier claim: the recorded one, or that of its upstream."""
        if claim.phase is ClaimPhase.DONE and claim.outcome is not None:
            events.emit(events.CLAIM_REPLAYED, request=request.request_id, key=claim.key)
            outcome = claim.outcome
            return Answer(outcome.status, outcome.content_type, outcome.body)
        if claim.phase is ClaimPhase.UNKNOWN:
            return unknown(
                Reason.OUTCOME_UNKNOWN, "the outcome was lost and the request is not run again"
            )
        member = self.dispatcher.view.members.get(claim.upstream)
        if member is None or member.incarnation != claim.incarnation:
            record = OutcomeRecord(claim.key, claim.attempt, None)
            await self.propose(c.RecordOutcomes([record]), request)
            return unknown(
                Reason.OUTCOME_UNKNOWN,
                f"upstream {claim.upstream} left or restarted; the request is not run again",
            )
        events.emit(
            events.CLAIM_RESOLVED,
            request=request.request_id,
            key=claim.key,
            upstream=claim.upstream,
        )
        fields = {h.TOKEN: claim.token, h.INCARNATION: claim.incarnation}
        resolve_request = evolve(request, path=RESOLVE_PATH, body=b"", headers=fields)
        answer = await self.dispatcher.upstreams.send(member, resolve_request)
        if isinstance(answer, Refusal) and answer.reason is not Reason.TOMBSTONED:
            return unknown(Reason.OUTCOME_UNKNOWN, answer.reason.value)
        return answer  # type: ignore[return-value]
