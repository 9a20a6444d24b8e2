"""A fake pool of engines behind sidecars' admission, driven by events in virtual time."""

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

PREFILL_TOKENS_A_STEP = 64
QUEUE_LENGTH = 10_000
QUEUE_S = 60.0
FAR_S = 1e9


@frozen
class EngineModel:
    """What all engines of a pool are like.

    :param engines: how many there are.
    :param slots: sequences in a batch.
    :param step_s: time of a batch step with one sequence, in seconds.
    :param batch_cost: share by which a full batch is slower.
    :param prompt_tokens: length of a prompt.
    :param cache_prompts: prompts whose prefix stays cached.
    """

    engines: int = 5
    slots: int = 16
    step_s: float = 0.02
    batch_cost: float = 0.1
    prompt_tokens: int = 1024
    cache_prompts: int = 32


class Clock:
    """Virtual time and what happens in it."""

    def __init__(self) -> None:
        self.now = 0.0
        self.sequence = itertools.count()
        self.heap: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self.heap, (self.now + seconds, next(self.sequence), action))

    def run(self, until: Callable[[], bool], most_s: float = FAR_S) -> None:
        """Let time pass until a condition holds."""
        while self.heap and not until() and self.now < most_s:
            self.now, _, action = heapq.heappop(self.heap)
            action()


@define(eq=False)
class Job:
    """A request at an engine."""

    traffic_class: TrafficClass
    prompt: str
    tokens: float
    on_end: Callable[[bool], None]
    done: float = 0.0
    ticket: Ticket | None = None
    rate_s: float = 0.0
    resumed_at: float = 0.0
    epoch: int = 0
    cancelled: bool = False


class FakeEngine:
    """An engine behind the real admission rules.

    A job's speed is set when it starts: steps slow down with the batch, `slowness` models a bad
    engine, an uncached prompt costs steps of prefill.
    """

    def __init__(
        self, name: str, model: EngineModel, clock: Clock, reserve_percent: int, preempts: bool
    ) -> None:
        self.name = name
        self.model = model
        self.clock = clock
        self.slowness = 1.0
        self.lost = False
        self.version = 0
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.admission = Admission(
            model.slots, reserve_percent, QUEUE_LENGTH, QUEUE_S, preempts=preempts
        )
        self.jobs: dict[Ticket, Job] = {}
        self.generated = 0.0

    @property
    def member(self) -> Member:
        """Return the engine as the router sees it."""
        return Member(self.name, self.name, Kind.ENGINE, "", "domain", "pool", {"m": self.version})

    def submit(self, job: Job) -> None:
        """Take a job through admission."""
        if self.lost:
            self.clock.after(0.0, lambda: job.on_end(False))
            return
        verdict = self.admission.arrive(job.traffic_class, FAR_S, self.clock.now)
        if isinstance(verdict, Refusal):
            self.clock.after(0.0, lambda: job.on_end(False))
            return
        job.ticket = verdict.ticket
        self.jobs[verdict.ticket] = job
        if isinstance(verdict, Started):
            if verdict.preempted is not None:
                self.preempt(verdict.preempted)
            self.start(job)
        else:
            assert isinstance(verdict, Queued)

    def start(self, job: Job) -> None:
        """Run a job from where it is."""
        load = self.admission.active / self.model.slots
        step_s = self.model.step_s * (1 + self.model.batch_cost * load) * self.slowness
        prefill = 0.0
        if job.prompt not in self.cache:
            prefill = self.model.prompt_tokens / PREFILL_TOKENS_A_STEP * step_s
        self.cache[job.prompt] = None
        self.cache.move_to_end(job.prompt)
        while len(self.cache) > self.model.cache_prompts:
            self.cache.popitem(last=False)
        job.rate_s = step_s
        job.resumed_at = self.clock.now + prefill
        job.epoch += 1
        epoch = job.epoch
        left_s = prefill + (job.tokens - job.done) * step_s
        self.clock.after(left_s, lambda: self.finish(job, epoch))

    def progress(self, job: Job) -> None:
        """Count what a running job has generated until now."""
        made = max(0.0, (self.clock.now - job.resumed_at) / job.rate_s)
        made = min(made, job.tokens - job.done)
        job.done += made
        self.generated += made
        job.epoch += 1

    def finish(self, job: Job, epoch: int) -> None:
        """End a job, if it was not stopped meanwhile."""
        if epoch != job.epoch or job.cancelled:
            return
        self.progress(job)
        self.leave(job)
        job.on_end(True)

    def leave(self, job: Job) -> None:
        """Give a job's slot to the next."""
        assert job.ticket is not None
        self.jobs.pop(job.ticket, None)
        for ticket in self.admission.release(job.ticket, self.clock.now):
            self.start(self.jobs[ticket])

    def preempt(self, ticket: Ticket) -> None:
        """Stop a sample and put it back into the queue with what it has."""
        job = self.jobs.pop(ticket)
        self.progress(job)
        self.submit(job)

    def cancel(self, job: Job) -> None:
        """Stop a job for good."""
        if job.cancelled or job.ticket not in self.jobs:
            return
        if job.ticket.running:
            self.progress(job)
        job.cancelled = True
        self.leave(job)

    def lose(self) -> None:
        """Lose the engine with all that runs on it."""
        self.lost = True
        jobs, self.jobs = list(self.jobs.values()), {}
        for job in jobs:
            job.epoch += 1
            job.on_end(False)
