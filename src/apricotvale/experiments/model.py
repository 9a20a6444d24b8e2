"""A discrete-event simulation of engines behind the admission control of sidecars."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable

from attrs import define, frozen

from apricotvale.membership.roster import Kind, Member
from apricotvale.outcomes import Refusal
from apricotvale.requests.admission import Admission, Queued, Started, Ticket
from apricotvale.settings.schema import TrafficClass

PREFILL_TOKENS_PER_STEP = 64
QUEUE_LENGTH = 10_000
QUEUE_TIMEOUT_S = 60.0
NEVER_S = 1e9


@frozen
class EngineModel:
    """Properties shared by the engines of a pool.

    :param engines: number of engines.
    :param slots: maximum sequences in a batch.
    :param step_s: duration of a batch step of an empty engine, in seconds.
    :param batch_slowdown: share by which a step takes longer in a full batch.
    :param prompt_tokens: tokens of each prompt.
    :param cache_prompts: maximum prompts in the prefix cache.
    """

    engines: int = 5
    slots: int = 16
    step_s: float = 0.02
    batch_slowdown: float = 0.1
    prompt_tokens: int = 1024
    cache_prompts: int = 32


class Clock:
    """A virtual clock with a queue of scheduled actions."""

    def __init__(self) -> None:
        self.now = 0.0
        self.sequence = itertools.count()
        self.heap: list[tuple[float, int, Callable[[], None]]] = []

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        heapq.heappush(self.heap, (self.now + delay_s, next(self.sequence), action))

    def run(self, until: Callable[[], bool], end_s: float = NEVER_S) -> None:
        """Run actions in order of time until a condition holds, none is left or time is up.

        :param end_s: virtual time at which to stop, in seconds.
        """
        while self.heap and not until() and self.now < end_s:
            self.now, _, action = heapq.heappop(self.heap)
            action()


@define(eq=False)
class SimulatedRequest:
    """A request at an engine.

    :param tokens: tokens to generate.
    :param on_end: called with whether the request completed.
    :param generated_tokens: tokens generated so far.
    :param token_s: duration of a token, in seconds.
    :param resumed_at: virtual time at which generation starts or continues.
    :param epoch: increased to invalidate a scheduled completion.
    """

    traffic_class: TrafficClass
    prompt: str
    tokens: float
    on_end: Callable[[bool], None]
    generated_tokens: float = 0.0
    ticket: Ticket | None = None
    token_s: float = 0.0
    resumed_at: float = 0.0
    epoch: int = 0
    cancelled: bool = False


class SimulatedEngine:
    """A simulated engine behind the admission control of a sidecar.

    The speed of a request is fixed when it starts: steps take longer in a fuller batch and by the
    factor `slowdown` on a slow engine, and a prompt that is not cached adds prefill steps.
    """

    def __init__(
        self, name: str, model: EngineModel, clock: Clock, reserve_percent: int, preempts: bool
    ) -> None:
        self.name = name
        self.model = model
        self.clock = clock
        self.slowdown = 1.0
        self.crashed = False
        self.version = 0
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.admission = Admission(
            model.slots, reserve_percent, QUEUE_LENGTH, QUEUE_TIMEOUT_S, preempts=preempts
        )
        self.requests: dict[Ticket, SimulatedRequest] = {}
        self.total_tokens = 0.0

    @property
    def member(self) -> Member:
        """Return the engine as a routing candidate."""
        return Member(self.name, self.name, Kind.ENGINE, "", "domain", "pool", {"m": self.version})

    def submit(self, request: SimulatedRequest) -> None:
        """Start or queue a request; one that is refused ends as failed."""
        if self.crashed:
            self.clock.schedule(0.0, lambda: request.on_end(False))
            return
        decision = self.admission.admit(request.traffic_class, NEVER_S, self.clock.now)
        if isinstance(decision, Refusal):
            self.clock.schedule(0.0, lambda: request.on_end(False))
            return
        request.ticket = decision.ticket
        self.requests[decision.ticket] = request
        if isinstance(decision, Started):
            if decision.preempted is not None:
                self.preempt(decision.preempted)
            self.start(request)
        else:
            assert isinstance(decision, Queued)

    def start(self, request: SimulatedRequest) -> None:
        """Start or resume a request and schedule its completion."""
        load = self.admission.active / self.model.slots
        step_s = self.model.step_s * (1 + self.model.batch_slowdown * load) * self.slowdown
        prefill_s = 0.0
        if request.prompt not in self.cache:
            prefill_s = self.model.prompt_tokens / PREFILL_TOKENS_PER_STEP * step_s
        self.cache[request.prompt] = None
        self.cache.move_to_end(request.prompt)
        while len(self.cache) > self.model.cache_prompts:
            self.cache.popitem(last=False)
        request.token_s = step_s
        request.resumed_at = self.clock.now + prefill_s
        request.epoch += 1
        epoch = request.epoch
        remaining_s = prefill_s + (request.tokens - request.generated_tokens) * step_s
        self.clock.schedule(remaining_s, lambda: self.complete(request, epoch))

    def update_progress(self, request: SimulatedRequest) -> None:
        """Add the tokens that a running request has generated since it was resumed."""
        new_tokens = max(0.0, (self.clock.now - request.resumed_at) / request.token_s)
        new_tokens = min(new_tokens, request.tokens - request.generated_tokens)
        request.generated_tokens += new_tokens
        self.total_tokens += new_tokens
        request.epoch += 1

    def complete(self, request: SimulatedRequest, epoch: int) -> None:
        """Complete a request, unless it was stopped or rescheduled in the meantime."""
        if epoch != request.epoch or request.cancelled:
            return
        self.update_progress(request)
        self.release_slot(request)
        request.on_end(True)

    def release_slot(self, request: SimulatedRequest) -> None:
        """Release the slot of a request and start the requests that admission picks next."""
        assert request.ticket is not None
        self.requests.pop(request.ticket, None)
        for ticket in self.admission.release(request.ticket, self.clock.now):
            self.start(self.requests[ticket])

    def preempt(self, ticket: Ticket) -> None:
        """Stop a sample and queue it again; it keeps the tokens generated so far."""
        request = self.requests.pop(ticket)
        self.update_progress(request)
        self.submit(request)

    def cancel(self, request: SimulatedRequest) -> None:
        """Cancel a request and release its slot."""
        if request.cancelled or request.ticket not in self.requests:
            return
        if request.ticket.running:
            self.update_progress(request)
        request.cancelled = True
        self.release_slot(request)

    def crash(self) -> None:
        """Crash the engine; all of its requests fail."""
        self.crashed = True
        requests, self.requests = list(self.requests.values()), {}
        for request in requests:
            request.epoch += 1
            request.on_end(False)
