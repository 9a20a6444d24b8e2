"""Fake control, sidecars and service behind an entry, with fault injection.

The real claim and sample protocols run on these fakes. A fault is injected at a numbered injection
point, that is, a call to control or a message to a sidecar.
"""

from __future__ import annotations

import asyncio
import random
import time

from attrs import define, field

from apricotvale.codec import encode
from apricotvale.consensus.messages import Entry, EntryKind
from apricotvale.control import commands as c
from apricotvale.control.state import ControlState
from apricotvale.daemons import headers as h
from apricotvale.daemons.claiming import RESOLVE_PATH, ClaimRunner
from apricotvale.daemons.dispatch import Dispatcher
from apricotvale.daemons.upstreams import Answer, SidecarRequest
from apricotvale.membership.roster import Kind, Member, RosterView
from apricotvale.metrics import Metrics
from apricotvale.outcomes import Ran, Reason, Refusal, not_run, unknown
from apricotvale.requests.claims import Outcome, OutcomeRecord
from apricotvale.requests.retries import RetryBudget
from apricotvale.requests.routing import Router
from apricotvale.requests.tokens import TokenPhase, TokenTable
from apricotvale.settings.routing import Routing
from apricotvale.settings.schema import TrafficClass

CONTROL_FAULTS = ("call lost", "answer lost", "entry crash")
SIDECAR_FAULTS = (
    "request lost",
    "answer lost",
    "request delayed",
    "sidecar restarts before",
    "sidecar restarts after",
    "sidecar drains",
    "unreachable",
    "service fails after it ran",
    "entry crash",
)
WINDOW_S = 1000.0


class EntryCrash(Exception):
    """Simulates a crash of the entry's process."""


@define(eq=False)
class FakeSidecar:
    """The token table of a sidecar and the outcomes that it has not reported."""

    name: str
    incarnation: str
    tokens: TokenTable = field(factory=lambda: TokenTable(1000, WINDOW_S))
    draining: bool = False
    outcomes: list = field(factory=list)

    @property
    def member(self):
        return Member(self.name, self.incarnation, Kind.SERVICE, "", "site", "desk")


@define
class FakeSite:
    """The fakes: committed control state, two sidecars and one service.

    :param faults: fault to inject by the index of the injection point.
    :param injection_points: kinds of the injection points so far, in order.
    :param runs: number of runs of the service by key.
    :param delayed: requests whose delivery is delayed.
    """

    faults: dict[int, str] = field(factory=dict)
    injection_points: list = field(factory=list)
    state: ControlState = field(factory=ControlState)
    runs: dict = field(factory=dict)
    delayed: list = field(factory=list)
    sidecars: dict = field(factory=dict)
    view: RosterView = field(factory=RosterView)
    index: int = 0
    clock_ms: int = 0

    def __attrs_post_init__(self):
        for name in ("one", "two"):
            self.start_sidecar(name)

    def start_sidecar(self, name):
        """Start a sidecar, or restart it with an empty token table and a new incarnation."""
        previous = self.sidecars.get(name)
        number = 1 if previous is None else int(previous.incarnation.rpartition("#")[2]) + 1
        self.sidecars[name] = FakeSidecar(name, f"{name}#{number}")
        self.view.members[name] = self.sidecars[name].member

    async def next_fault(self, kind):
        """Record an injection point and return the fault to inject there, or None."""
        self.injection_points.append(kind)
        fault = self.faults.get(len(self.injection_points) - 1)
        await asyncio.sleep(0)
        if fault == "entry crash":
            raise EntryCrash
        return fault

    def commit(self, command):
        """Apply a command to the state as a committed entry."""
        self.index += 1
        self.clock_ms += 1
        payload = encode(command, c.Command)
        return self.state.apply(Entry(self.index, 1, self.clock_ms, EntryKind.COMMAND, payload))

    async def propose(self, command, deadline):
        """Commit a command like the control client, which retries it if the answer is lost."""
        fault = await self.next_fault("control")
        if fault == "call lost":
            return not_run(Reason.NO_QUORUM)
        result = self.commit(command)
        if fault == "answer lost":
            await asyncio.sleep(0)
            result = self.commit(command)
        return result

    # Sidecars

    async def send(self, member, request):
        """Send a request to a sidecar, with the fault injected at this point."""
        fault = await self.next_fault("sidecar")
        if fault == "unreachable":
            return not_run(Reason.UPSTREAM_UNREACHABLE)
        if fault == "request lost":
            return unknown(Reason.UPSTREAM_LOST)
        if fault == "request delayed":
            self.delayed.append((member, request))
            return unknown(Reason.DEADLINE_EXPIRED)
        if fault == "sidecar restarts before":
            self.start_sidecar(member.name)
        if fault == "sidecar drains":
            self.sidecars[member.name].draining = True
        answer = await self.handle(member, request, fault)
        if fault == "sidecar restarts after":
            self.start_sidecar(member.name)
            return unknown(Reason.UPSTREAM_LOST)
        if fault == "answer lost":
            return unknown(Reason.UPSTREAM_LOST)
        return answer

    async def handle(self, member, request, fault=None):
        """Process a request like a sidecar."""
        sidecar = self.sidecars[member.name]
        token = request.headers[h.TOKEN]
        incarnation = request.headers.get(h.INCARNATION, member.incarnation)
        if request.path == RESOLVE_PATH:
            return await self.resolve(sidecar, token, incarnation)
        now = time.monotonic()
        refusal = None
        if sidecar.draining:
            refusal = not_run(Reason.DRAINING)
        if incarnation != sidecar.incarnation:
            refusal = not_run(Reason.WRONG_INCARNATION)
        if refusal is not None:
            prior_refusal = sidecar.tokens.prior_refusal(token)
            sidecar.tokens.close_unstarted(token, now)
            return prior_refusal or refusal
        refusal = sidecar.tokens.begin(token, now)
        if refusal is not None:
            return refusal
        return await self.run(sidecar, token, request.body.decode(), fault)

    async def run(self, sidecar, token, key, fault):
        """Run the request of a token at the service and record the outcome."""
        await asyncio.sleep(0)
        self.runs[key] = self.runs.get(key, 0) + 1
        await asyncio.sleep(0)
        name, _, attempt = token.rpartition("/")
        if fault == "service fails after it ran":
            sidecar.tokens.mark_lost(token)
            sidecar.outcomes.append(OutcomeRecord(name, int(attempt), None))
            return unknown(Reason.UPSTREAM_LOST)
        outcome = Outcome(200, "text/plain", f"{key} by {sidecar.name}".encode())
        sidecar.tokens.finish(token, outcome)
        sidecar.outcomes.append(OutcomeRecord(name, int(attempt), outcome))
        return Answer(outcome.status, outcome.content_type, outcome.body)

    async def resolve(self, sidecar, token, incarnation):
        """Return the outcome of a token, waiting while its request runs."""
        if incarnation != sidecar.incarnation:
            return unknown(Reason.OUTCOME_UNKNOWN)
        record = sidecar.tokens.resolve(token, time.monotonic())
        while record.phase is TokenPhase.RUNNING:
            await asyncio.sleep(0)
        if record.phase is TokenPhase.DONE:
            outcome = record.outcome
            return Answer(outcome.status, outcome.content_type, outcome.body)
        if record.phase is TokenPhase.CLOSED:
            return not_run(Reason.TOMBSTONED)
        return unknown(Reason.OUTCOME_UNKNOWN)

    def report_outcomes(self):
        """Commit the outcomes that the sidecars have recorded."""
        for sidecar in self.sidecars.values():
            if sidecar.outcomes:
                self.commit(c.RecordOutcomes(list(sidecar.outcomes)))
                sidecar.outcomes.clear()

    async def release_delayed(self):
        """Deliver the delayed requests."""
        for member, request in self.delayed:
            await self.handle(member, request)
        self.delayed.clear()

    # Entries

    def claim_runner(self, name, seed):
        """Return the claim runner of a new entry."""
        router = Router("site", Routing(), random.Random(seed))
        dispatcher = Dispatcher(self.view, router, self, RetryBudget(100), Metrics("", name))
        return ClaimRunner(self, dispatcher, name)

    async def request(self, claim_runner, key):
        """Send a request with a key; return its answer, or None if the entry crashed."""
        sidecar_request = SidecarRequest(
            "/call/slots",
            key.encode(),
            "id",
            TrafficClass.INTERACTIVE,
            time.monotonic() + 60.0,
        )
        try:
            return await claim_runner.run(
                key, sidecar_request, self.serving, limit=100, window_ms=1_000_000
            )
        except EntryCrash:
            return None

    def serving(self):
        return [sidecar.member for sidecar in self.sidecars.values() if not sidecar.draining]


def is_not_run(answer):
    return isinstance(answer, Refusal) and answer.ran is Ran.NOT_RUN
