"""Non-idempotent requests: claim by quorum, send once, and answer resends from the record."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from apricotvale import events
from apricotvale.control import commands as c
from apricotvale.daemons import headers as h
from apricotvale.daemons.dispatch import Dispatcher
from apricotvale.daemons.link import ControlClient
from apricotvale.daemons.upstreams import Answer, Outbound
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
CLAIM_S = 3.0
LOST_CLAIM_S = 0.25
RESOLVE_PATH = "/claims/resolve"


def digest_of(request: Outbound) -> str:
    """Return a digest of what a request asks."""
    method = request.headers.get("X-Method", "")
    head = f"{method} {request.path}\n".encode()
    return digest(head + request.body)


@define
class Claimant:
    """Runs non-idempotent requests of one entry."""

    control: ControlClient
    dispatcher: Dispatcher
    entry: str
    hears_control: Callable[[], bool] = field(default=lambda: True)

    async def run(
        self,
        key: str,
        request: Outbound,
        candidates: Callable[[], list[Member]],
        limit: int,
        window_ms: int,
        resendable: bool = True,
    ) -> Answer | Refusal:
        """Run a request at most once, however often its key is sent.

        Without an answer of control, a request that may be a resend is not called not run: its
        first sending may have run.

        :param key: the caller's idempotency key, within its service.
        :param request: the request.
        :param candidates: returns the eligible members at the moment.
        :param limit: keys remembered at most.
        :param window_ms: time for which the key is remembered.
        :param resendable: whether the key is the caller's, who may have sent it before.
        """
        choice = self.dispatcher.choose(candidates(), request, "", set())
        if isinstance(choice, Refusal):
            return await self.replay_only(key, request, choice, candidates, resendable)
        claim = Claim(
            key=key,
            digest=digest_of(request),
            upstream=choice.member.name,
            incarnation=choice.member.incarnation,
            attempt=1,
            claimant=f"{self.entry}/{uuid.uuid4().hex}",
        )
        result = await self.propose(c.MakeClaim(claim, limit, window_ms), request)
        if isinstance(result, KeyReused):
            return not_run(Reason.KEY_REUSED, "the key was used for another request")
        if isinstance(result, ClaimsFull):
            return not_run(Reason.KEYS_FULL, retry_after_s=RETRY_AFTER_S)
        if isinstance(result, Refusal) and resendable:
            return evolve(result, ran=Ran.UNKNOWN)
        return await self.follow(result, request, candidates)

    async def replay_only(
        self,
        key: str,
        request: Outbound,
        refusal: Refusal,
        candidates: Callable[[], list[Member]],
        resendable: bool,
    ) -> Answer | Refusal:
        """Answer for want of an upstream: by the record if the key was claimed, else refuse."""
        result = await self.propose(c.LookUpClaim(key, digest_of(request)), request)
        if isinstance(result, ClaimHeld):
            return await self.follow(result, request, candidates)
        if isinstance(result, Refusal) and resendable:
            return evolve(result, ran=Ran.UNKNOWN)
        return refusal

    async def propose(self, command: Any, request: Outbound) -> Any:
        """Commit a command of the claim within the request's deadline.

        While control is being heard, an election is waited for; otherwise one short try is made.
        """
        patience_s = CLAIM_S if self.hears_control() else LOST_CLAIM_S
        deadline = min(request.deadline, time.monotonic() + patience_s)
        return await self.control.propose(command, deadline)

    async def follow(
        self, result: Any, request: Outbound, candidates: Callable[[], list[Member]]
    ) -> Answer | Refusal:
        """Send a granted claim, resolve a held one, and move on after true refusals."""
        tried: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            if isinstance(result, ClaimGranted):
                answer = await self.send(result.claim, request)
            elif isinstance(result, ClaimHeld):
                answer = await self.resolve(result.claim, request)
            elif isinstance(result, Refusal):
                return result
            else:
                return unknown(Reason.OUTCOME_UNKNOWN, "the key's window has passed")
            if isinstance(answer, Answer) or answer.ran is not Ran.NOT_RUN:
                return answer
            if time.monotonic() >= request.deadline or answer.reason is Reason.DEADLINE_EXPIRED:
                return answer
            tried.add(result.claim.incarnation)
            choice = self.dispatcher.choose(candidates(), request, "", tried)
            if isinstance(choice, Refusal):
                return answer
            result = await self.reassign(result.claim, choice, request)
        return unknown(Reason.OUTCOME_UNKNOWN, "the claim moved too often")

    async def reassign(self, claim: Claim, choice: Choice, request: Outbound) -> Any:
        """Move a claim that was truly refused."""
        command = c.ReassignClaim(
            claim.key,
            claim.attempt,
            choice.member.name,
            choice.member.incarnation,
            f"{self.entry}/{uuid.uuid4().hex}",
        )
        return await self.propose(command, request)

    async def send(self, claim: Claim, request: Outbound) -> Answer | Refusal:
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
            return not_run(Reason.NO_UPSTREAM, "the upstream left before the request was sent")
        tagged = evolve(request, headers={**request.headers, h.TOKEN: claim.token})
        answer = await self.dispatcher.upstreams.send(member, tagged)
        if not isinstance(answer, Refusal):
            return answer  # type: ignore[return-value]
        self.dispatcher.learn(member, answer)
        return answer

    async def resolve(self, claim: Claim, request: Outbound) -> Answer | Refusal:
        """Learn what became of a claim that was made before."""
        if claim.phase is ClaimPhase.DONE and claim.outcome is not None:
            events.emit(events.CLAIM_REPLAYED, request=request.request_id, key=claim.key)
            outcome = claim.outcome
            return Answer(outcome.status, outcome.content_type, outcome.body)
        if claim.phase is ClaimPhase.UNKNOWN:
            return unknown(Reason.OUTCOME_UNKNOWN, "the outcome was lost; it is not run again")
        member = self.dispatcher.view.members.get(claim.upstream)
        if member is None or member.incarnation != claim.incarnation:
            record = OutcomeRecord(claim.key, claim.attempt, None)
            await self.propose(c.RecordOutcomes([record]), request)
            return unknown(Reason.OUTCOME_UNKNOWN, "the upstream is gone; it is not run again")
        events.emit(
            events.CLAIM_RESOLVED,
            request=request.request_id,
            key=claim.key,
            upstream=claim.upstream,
        )
        fields = {h.TOKEN: claim.token, h.INCARNATION: claim.incarnation}
        question = evolve(request, path=RESOLVE_PATH, body=b"", headers=fields)
        answer = await self.dispatcher.upstreams.send(member, question)
        if isinstance(answer, Refusal) and answer.reason is not Reason.TOMBSTONED:
            return unknown(Reason.OUTCOME_UNKNOWN, answer.reason.value)
        return answer  # type: ignore[return-value]
