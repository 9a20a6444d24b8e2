"""Runs the items of open jobs while this replica is the leader."""

from __future__ import annotations

import asyncio
import secrets
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from itertools import islice

from attrs import evolve

from apricotvale import clock, events, metrics
from apricotvale.customers.access import upstream_customer, urgency
from apricotvale.daemons.capacity import CapacityPlanner
from apricotvale.daemons.forwarder import Forwarder
from apricotvale.daemons.item_run import MIN_ORIGIN_WAIT_S, ItemRun
from apricotvale.daemons.permits import LeaderPermits
from apricotvale.daemons.reward_slots import Order, RewardSlots, reward_limit
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.discovery import Origin, Standing, Upstream
from apricotvale.engines.pool import EnginePool, ServiceEngines, services_of
from apricotvale.engines.priority import run_priority, service_priorities, urgency_class
from apricotvale.exceptions import TruncatedStreamError, UnwantedVersionError
from apricotvale.fleet import commands as c
from apricotvale.fleet.state import FleetState
from apricotvale.jobs import Item, ItemState, Job, Progress, Result, RewardCall
from apricotvale.jobs.placement import Demand, EngineUsage, may_be_left, should_move
from apricotvale.jobs.planning import LATE_S
from apricotvale.jobs.scheduling import (
    WaitingItem,
    expected_length,
    expected_memory,
    sort_by_priority,
    waiting_items,
)
from apricotvale.jobs.store import JobRecord
from apricotvale.jobs.transcript import Transcript, output_limit
from apricotvale.mechanisms import Mechanism, is_on
from apricotvale.outcomes import Reason, Refusal
from apricotvale.requests.calls import Answer, Call, RunRequest, RunStream, UpstreamClient
from apricotvale.requests.routing import Pace
from apricotvale.routes import Route, RouteTable
from apricotvale.weights.orders import EngineLoads, WaitingWork, is_loading

# A run without an event for this long is resumed on another engine. A weight load pauses the runs
# that continue across it for about 1 s, which must not count as a stall.
STALL_TIMEOUT_S = 2.5
# How often it is looked up when an item may be abandoned: the table may change meanwhile.
ABANDON_CHECK_S = 1.0
REWARD_RETRY_S = 0.2
# A reward call that is refused for these will not be answered before its item may be abandoned.
HOPELESS_REASONS = (Reason.CRASHES_UPSTREAMS, Reason.BAD_REQUEST)
# Age from which a run's partial output is saved, so that a new leader can resume it. Most items
# finish earlier; the longest items, which take most of a step's time, are the ones worth saving.
SAVE_MIN_AGE_S = 1.0
SAVE_INTERVAL_S = 0.25
# Used until the first runs are complete.
INITIAL_SECONDS_PER_TOKEN = 0.001
# Runs younger than this are not worth moving.
MOVE_MIN_AGE_S = 0.3
# Items of one job among which those that start next are chosen. A choice among all items of larger
# jobs would hold up the leader.
MAX_WAITING_PER_JOB = 2_048
# Maximum number of runs that move to one engine in each pass over all runs.
MAX_MOVES_PER_ENGINE = 2
MOVE_INTERVAL_S = 0.1
REWARD_TIMEOUT_S = 3.0
ATTEMPT_BYTES = 6
UNPROCESSABLE_STATUS = 422
SERVER_ERROR_STATUS = 500


class JobRunner:
    """Schedules, runs, resumes and scores items.

    :param state: the replicated state.
    :param client: sends runs to upstreams.
    :param forwarder: sends the reward calls.
    :param permits: permits of upstreams with a limit.
    :param commit: commits a command; returns False if this replica is no longer the leader.
    :param version_field: name of the event field that announces a new weight version.
    :param leads: returns whether this replica leads, by what it knows at the time of the call.

    `run_pace` is the time of complete runs for each expected token of their output.
    `runs` holds the items that run now and `waiting` those whose run was interrupted, both by job
    id and item id. `seen_at` holds the time at which this replica first saw each job.
    `read_tokens` holds the prompt tokens that the engine of an item that starts has not cached.
    """

    def __init__(
        self,
        state: FleetState,
        client: UpstreamClient,
        forwarder: Forwarder,
        permits: LeaderPermits,
        commit: Callable[[c.Command], Awaitable[bool]],
        version_field: str,
        leads: Callable[[], bool] = lambda: True,
    ) -> None:
        self.state = state
        self.leads = leads
        self.client = client
        self.forwarder = forwarder
        self.permits = permits
        self.commit = commit
        self.version_field = version_field
        self.table: RouteTable | None = None
        self.pool = EnginePool()
        self.usages = self.pool.usages
        self.loads = self.pool.loads
        self.runs: dict[tuple[str, str], ItemRun] = {}
        self.waiting: dict[tuple[str, str], ItemRun] = {}
        self.seen_at: dict[str, float] = {}
        self.next_move_at = 0.0
        self.run_pace = Pace()
        self.run_time = Pace()
        self.read_tokens: dict[tuple[str, str], int] = {}
        self.priorities: tuple[RouteTable | None, dict[str, list[int]]] = (None, {})
        self.rewards = RewardSlots(self.reward_limit)
        self.capacity = CapacityPlanner(
            self.state,
            self.runs,
            self.waiting,
            self.usages,
            self.seen_at,
            self.seconds_per_token,
            self.rewards.rate,
            lambda: self.run_time.seconds_per_token,
        )
        self.tasks = TaskGroup()

    def tick(self, now: float) -> None:
        """Cancel runs of jobs that are no longer open, and start items that fit on an engine."""
        records = self.state.jobs.open_records()
        wanted = {record.job.job_id for record in records}
        for key, run in list(self.runs.items()):
            if key[0] not in wanted and run.task is not None:
                run.task.cancel()
        for key in [key for key in self.waiting if key[0] not in wanted]:
            del self.waiting[key]
        for record in records:
            job_id = record.job.job_id
            self.seen_at.setdefault(job_id, min(now, self.state.jobs.applied_at.get(job_id, now)))
        self.start_items(self.find_waiting(records, now), now)
        if now >= self.next_move_at:
            self.next_move_at = now + MOVE_INTERVAL_S
            self.rewards.grant_all()
            self.move_runs(now)

    def find_waiting(self, records: list[JobRecord], now: float) -> list[WaitingItem]:
        """Return the items of open jobs that wait for an engine, in the order of their starts.

        Without overload of a job's services the items go by least slack over all jobs, but of a
        job with very many items only the first ones that wait.
        """
        self.capacity.update(records, self.table, now)
        seconds_per_token = self.seconds_per_token()
        waiting: list[WaitingItem] = []
        planned: list[WaitingItem] = []
        for pool in self.capacity.pools.values():
            planned += [
                candidate
                for candidate in pool.order or ()
                if self.capacity.is_planned(candidate.job.job_id)
                and (candidate.job.job_id, candidate.item.item_id) not in self.runs
                and not self.state.jobs.is_finished(candidate.job.job_id, candidate.item.item_id)
            ]
        for record in records:
            job = record.job
            route = self.table.match(job.host, job.path) if self.table else None
            if route is None or self.capacity.is_planned(job.job_id):
                continue
            unfinished = (
                item
                for item in self.state.jobs.unfinished_items(record)
                if (job.job_id, item.item_id) not in self.runs
            )
            items = list(islice(unfinished, MAX_WAITING_PER_JOB))
            if items:
                due_at = self.seen_at[job.job_id] + route.job_deadline_ms / 1000
                waiting += waiting_items(job, items, route, due_at, seconds_per_token)
        return sort_by_priority(waiting) + planned

    def seconds_per_token(self) -> float:
        """Return the time of a run for each expected token of its output."""
        return self.run_pace.seconds_per_token or INITIAL_SECONDS_PER_TOKEN

    def refuse(self, job: Job, now: float) -> float | None:
        """Return the time until a new job may be submitted again, None if it is accepted."""
        return self.capacity.refuse(job, self.state.jobs.open_records(), self.table, now)

    def start_items(self, waiting: list[WaitingItem], now: float) -> None:
        """Start items in their order; one that no engine can take does not hold up smaller ones.

        Load pattern: hundreds of items wait while all engines are full. A search for each of them
        in each pass would take most of the leader's processor time.
        """
        # The memory that an item of a kind was refused for, 0 if no item of the kind can start.
        refused: dict[tuple[str, str, int, Origin | None], int] = {}
        for candidate in waiting:
            job, item, route = candidate.job, candidate.item, candidate.route
            key = (job.job_id, item.item_id)
            any_origin = (route.name, job.model, job.min_version, None)
            if refused.get(any_origin) == 0 and not self.has_output(job, item):
                continue
            demand = demand_of(job, item)
            engine = None
            for origin in self.origins_to_try(route, job, item, now):
                kind = (route.name, demand.model, demand.min_version, origin)
                if demand.memory_tokens >= refused.get(kind, demand.memory_tokens + 1):
                    continue
                engine = self.select_engine(route, job, item, now, origin)
                if engine is not None:
                    break
                has_slot = kind in refused or self.has_slot(route, job, item, now, origin)
                refused[kind] = demand.memory_tokens if has_slot else 0
            if engine is None:
                continue
            run = self.waiting.pop(key, None) or self.create_run(job, item)
            run.engine, run.started_at, run.move_requested = engine, now, False
            run.slack_s, run.is_spare = candidate.latest_start - now, candidate.is_spare
            run.read_tokens = self.read_tokens.pop(key, 0)
            self.runs[key] = run
            usage = self.usages.setdefault(engine.incarnation, EngineUsage())
            usage.begin(demand)
            run.task = self.tasks.start(self.run_item(route, run, engine, usage))

    def waiting_work(self) -> dict[str, WaitingWork]:
        """Return the items that wait for an engine, by model."""
        waiting: dict[str, WaitingWork] = {}
        for record in self.state.jobs.open_records():
            job = record.job
            count = sum(
                (job.job_id, item.item_id) not in self.runs
                for item in self.state.jobs.unfinished_items(record)
            )
            if count:
                held = waiting.get(job.model, WaitingWork())
                waiting[job.model] = WaitingWork(
                    max(held.min_version, job.min_version), held.count + count
                )
        return waiting

    def requires_single_version(self, engine: Upstream, model: str) -> bool:
        """Return whether an engine generates an output of a model that may have one version."""
        return any(
            run.engine is not None
            and run.engine.incarnation == engine.incarnation
            and run.job.model == model
            and run.transcript.single_version
            for run in self.runs.values()
        )

    def move_runs(self, now: float) -> None:
        """Request moves of runs that are expected to end sooner, or in time, on another engine."""
        if self.table is None:
            return
        upstreams = self.state.registry.state.upstreams
        moved: Counter[str] = Counter()
        for run in self.runs.values():
            if run.engine is None or run.move_requested:
                continue
            engine = upstreams.get(run.engine.upstream_id)
            if engine is None or engine.incarnation != run.engine.incarnation:
                engine = run.engine
            route = self.table.match(run.job.host, run.job.path)
            if route is None:
                continue
            is_leaving = engine.standing is Standing.DRAINING
            speeds = self.engines_of(route, now).speeds
            if not is_leaving and (
                not is_on(Mechanism.RUN_MOVES)
                or now < run.started_at + MOVE_MIN_AGE_S
                or not may_be_left(engine, self.usages, speeds)
            ):
                continue
            demand = self.remaining_demand(route, run)
            if run.transcript.data and run.transcript.origin is None:
                # Another engine could not continue the output.
                continue
            origin = run.transcript.origin if run.transcript.data else None
            other = self.find_engine(route, run.job, run.item, now, demand, origin=origin)
            if other is None or self.permits.rate_of(other) is not None:
                # A run that has stopped might not get a permit to go on.
                continue
            version = self.pool.version_of(other, run.job.model)
            if route.single_version and version != run.transcript.version:
                demand = self.demand_of(route, run.job, run.item)
            if not should_move(engine, other, self.usages, demand, now, speeds):
                continue
            usage = self.usages[other.incarnation]
            free = other.capacity - usage.in_flight
            limit = free if is_leaving else min(free, MAX_MOVES_PER_ENGINE)
            if moved[other.incarnation] < limit:
                moved[other.incarnation] += 1
                run.move_requested = True

    def remaining_demand(self, route: Route, run: ItemRun) -> Demand:
        """Return what the rest of a run needs, if its output so far is kept.

        An output that is longer than expected is expected to become twice as long as it is.
        """
        demand = self.demand_of(route, run.job, run.item)
        service = next(iter(services_of(route)), "")
        event_tokens = self.pool.speed_of(service).tokens_per_event
        generated = round(len(run.transcript.data) * event_tokens)
        limit = run.item.tokens - run.item.prompt_tokens
        expected = demand.output_tokens if demand.output_tokens > generated else 2 * generated
        left = min(expected, limit) - generated if limit > 0 else expected - generated
        return evolve(
            demand,
            output_tokens=max(1, left),
            prompt_tokens=demand.prompt_tokens + generated,
        )

    def saved_progress(self, job: Job, item: Item) -> Progress | None:
        """Return the output that an earlier leader saved, None without one.

        Output of an unknown origin cannot be continued.
        """
        record = self.state.jobs.state.records.get(job.job_id)
        progress = record.progress.get(item.item_id) if record else None
        return progress if progress is not None and progress.origin is not None else None

    def has_output(self, job: Job, item: Item) -> bool:
        """Return whether an earlier run of an item may have left output."""
        record = self.state.jobs.state.records.get(job.job_id)
        is_saved = record is not None and item.item_id in record.progress
        return is_saved or (job.job_id, item.item_id) in self.waiting

    def create_run(self, job: Job, item: Item) -> ItemRun:
        """Create the run of an item, with the output that an earlier leader saved."""
        limit, oldest = output_limit(item), job.min_version
        run = ItemRun(job, item, Transcript(self.version_field, limit, oldest))
        progress = self.saved_progress(job, item)
        if progress is not None and run.transcript.may_hold(progress.versions):
            run.transcript.resume(progress)
            run.was_interrupted = True
            run.saved_events = len(progress.data)
        return run

    def interrupted_run(self, job: Job, item: Item, now: float) -> ItemRun | None:
        """Return the interrupted run of an item, None if it has no output yet."""
        key = (job.job_id, item.item_id)
        run = self.waiting.get(key)
        if run is None and self.saved_progress(job, item) is not None:
            run = self.waiting[key] = self.create_run(job, item)
            run.waits_until = now + MIN_ORIGIN_WAIT_S
        return run if run is not None and run.transcript.data else None

    def origins_to_try(
        self, route: Route, job: Job, item: Item, now: float
    ) -> tuple[Origin | None, ...]:
        """Return the origins whose engines may run an item now, in order; None stands for all.

        An output goes on only at an engine of its origin. While one accepts work, the output waits
        for about as long as its generation has taken; then it begins anew at an engine of another
        origin if that has room first.
        """
        run = self.interrupted_run(job, item, now)
        origin = run.transcript.origin if run else None
        if run is None or origin is None:
            return (None,)
        found = self.engines_of(route, now)
        leaving = self.forwarder.view.leaving
        serves = any(
            engine.origin == origin
            and engine.incarnation in found.ready
            and engine.incarnation not in leaving
            for engine in found.engines
        )
        return (origin,) if serves and now < run.waits_until else (origin, None)

    async def save_progress(self) -> None:
        """Commit the output that long items have generated since the last call."""
        if not is_on(Mechanism.SAVED_PROGRESS):
            return
        by_job: dict[str, list[Progress]] = {}
        now = clock.now()
        saved = []
        for run in self.runs.values():
            event_count = len(run.transcript.data)
            if (
                run.engine is None
                or now < run.started_at + SAVE_MIN_AGE_S
                or event_count <= run.saved_events
            ):
                continue
            progress = run.transcript.progress_since(run.item.item_id, run.saved_events)
            by_job.setdefault(run.job.job_id, []).append(progress)
            saved.append((run, run.transcript.restarts, event_count))
        if by_job:
            jobs = [c.JobProgress(job_id, items) for job_id, items in by_job.items()]
            if await self.commit(c.SaveProgress(jobs)):
                for run, restarts, event_count in saved:
                    # An output that was discarded meanwhile has no saved events.
                    if run.transcript.restarts == restarts:
                        run.saved_events = event_count

    def find_engine(
        self,
        route: Route,
        job: Job,
        item: Item,
        now: float,
        demand: Demand | None = None,
        may_wait: bool = False,
        origin: Origin | None = None,
    ) -> Upstream | None:
        """Return the engine for an item of a job, or None if no engine can take it.

        :param demand: what the item still needs; by default the whole item.
        :param may_wait: whether the item may wait for a faster engine.
        :param origin: the only origin whose engines may take it; None for any.
        """
        found = self.engines_of(route, now)
        memory_tokens = min((self.memory_tokens(name) for name in services_of(route)), default=0)
        demand = demand or self.demand_of(route, job, item)
        closed = self.forwarder.view.leaving | self.permits.closed(now)
        if origin is not None:
            closed = closed | {e.incarnation for e in found.engines if e.origin != origin}
        return self.pool.choose(found, job, item, demand, now, memory_tokens, may_wait, closed)

    def has_slot(
        self, route: Route, job: Job, item: Item, now: float, origin: Origin | None
    ) -> bool:
        """Return whether an engine could take an item that needs no memory and is never late."""
        demand = Demand(job.model, job.min_version)
        return self.find_engine(route, job, item, now, demand, origin=origin) is not None

    def engines_of(self, route: Route, now: float) -> ServiceEngines:
        """Return the engines of a route's services."""
        run_s = self.run_time.seconds_per_token
        return self.pool.find(self.state.registry.state, services_of(route), now, run_s)

    def demand_of(self, route: Route, job: Job, item: Item) -> Demand:
        """Return what an item of a job needs of an engine."""
        seen_at = self.seen_at.get(job.job_id)
        due_at = float("inf")
        if seen_at is not None and route.job_deadline_ms > 0:
            due_at = seen_at + route.job_deadline_ms / 1000
        return evolve(
            demand_of(job, item),
            output_tokens=expected_length(item),
            prompt_tokens=item.prompt_tokens,
            due_at=due_at,
        )

    def priority_of(self, route: Route, run: ItemRun) -> int | None:
        """Return the urgency that the engine is told, None if all routes have the same."""
        if self.priorities[0] is not self.table:
            table = self.table
            self.priorities = (table, service_priorities(table) if table else {})
        if self.table is None or not is_on(Mechanism.RUN_PRIORITIES):
            return None
        rank = urgency_class(
            self.priorities[1], route, urgency(self.table, route, run.job.customer)
        )
        return None if rank is None else run_priority(run.slack_s, run.is_spare, rank)

    def memory_tokens(self, service: str) -> int:
        """Return the memory of a service's engines in tokens, 0 if it is unknown."""
        found = self.table.services.get(service) if self.table else None
        return found.engine.memory_tokens if found and found.engine else 0

    def select_engine(
        self, route: Route, job: Job, item: Item, now: float, origin: Origin | None
    ) -> Upstream | None:
        """Return the engine for an item, or None, and log the choice.

        The engine counts as having the item's prompt from now on, so that other items of the group
        that start in the same pass find it there.
        """
        engine = self.find_engine(route, job, item, now, may_wait=True, origin=origin)
        if engine is not None and not self.permits.take(engine, now):
            return None
        if engine is not None:
            usage = self.usages[engine.incarnation]
            memory_tokens = self.memory_tokens(engine.service)
            cached = self.pool.record_prompt(engine, job, item, memory_tokens)
            self.read_tokens[job.job_id, item.item_id] = item.prompt_tokens - cached
            events.emit(
                events.ITEM_PLACED,
                job=job.job_id,
                item=item.item_id,
                upstream=engine.incarnation,
                software=engine.software,
                in_flight=usage.in_flight,
                pace_ms=round(usage.pace.seconds_per_event * 1000, 1),
                pace_age_ms=round(min(usage.pace.age_s(now), 3600.0) * 1000),
                cached_tokens=cached,
                expected_tokens=item.expected_tokens,
                registry=self.state.registry.state.position,
            )
        return engine

    # Running one item

    async def run_item(
        self, route: Route, run: ItemRun, engine: Upstream, usage: EngineUsage
    ) -> None:
        """Run an item on an engine; commit its result, or queue it for another run."""
        key = (run.job.job_id, run.item.item_id)
        last_event_id = run.transcript.last_event_id
        try:
            try:
                state = await self.generate(route, run, engine, usage)
            finally:
                usage.end(demand_of(run.job, run.item))
                run.engine = None
                run.generated_s += clock.now() - run.started_at
            if run.is_unsendable:
                state = await self.abandon(run)
            if state is ItemState.COMPLETED and run.item.reward is not None:
                score = await self.score(run, run.item.reward)
                state = ItemState.COMPLETED if score else ItemState.FAILED
            else:
                score = ""
            if state is ItemState.COMPLETED and not self.may_list(run):
                # The route came to require a single version while the output waited for its score.
                self.discard_output(run, engine)
                state = None
            if state is None:
                run.was_interrupted = True
                if run.transcript.last_event_id != last_event_id:
                    run.waits_until = clock.now() + run.origin_wait_s()
                self.waiting[key] = run
                return
            await self.commit_result(run, state, score)
        finally:
            self.runs.pop(key, None)

    async def generate(
        self, route: Route, run: ItemRun, engine: Upstream, usage: EngineUsage
    ) -> ItemState | None:
        """Generate the output on an engine; return None if another run has to continue it.

        Output that the engine may not continue is discarded.
        """
        # The requirement stays with the output if the route drops it meanwhile.
        run.transcript.single_version |= route.single_version
        if not run.transcript.may_continue_at(engine.origin):
            self.discard_output(run, engine)
        request = RunRequest(
            run.item.path,
            run.job.host,
            run.item.item_id,
            run.item.body,
            run.item.headers,
            run.transcript.last_event_id,
            upstream_customer(self.table, route, run.job.customer),
            self.priority_of(route, run),
        )
        why, is_failure = "", True
        sent_at = clock.now()
        try:
            # A leader without processor time may have been replaced since it chose the engine.
            if self.forwarder.is_leaving(engine) or not self.leads():
                return None
            self.forwarder.count_limited(engine, "run")
            async with self.client.run(engine, request) as stream:
                self.forwarder.note_statements(engine, stream, sent_at)
                if isinstance(stream, Answer):
                    return self.handle_error_answer(route, run, engine, usage, stream)
                if isinstance(stream, Refusal):
                    run.is_unsendable = stream.reason is Reason.BAD_REQUEST
                    why = f"{stream.reason}: {stream.detail}"
                elif not stream.version:
                    if await self.was_complete(run, stream):
                        return ItemState.COMPLETED
                    why = "engine reported no weight version"
                elif run.transcript.data and not stream.is_confirmed:
                    why = "the engine may have started again with other software"
                elif stream.version < run.job.min_version:
                    why = f"version {stream.version} is below the minimum {run.job.min_version}"
                    self.record_version(engine, run.job.model, stream.version)
                else:
                    self.record_version(engine, run.job.model, stream.version)
                    if (
                        run.transcript.single_version
                        and run.transcript.data
                        and run.transcript.versions != [stream.version]
                    ):
                        # This run goes on after the output that is discarded.
                        self.discard_output(run, engine)
                        return None
                    self.record_read(run, usage, clock.now() - sent_at)
                    completed = await self.read_stream(run, stream, usage, engine)
                    usage.succeed()
                    if completed:
                        self.record_pace(run, usage)
                        return ItemState.COMPLETED
                    events.emit(
                        events.ITEM_MOVED,
                        job=run.job.job_id,
                        item=run.item.item_id,
                        upstream=engine.incarnation,
                        software=engine.software,
                        pace_ms=round(usage.pace.seconds_per_event * 1000, 1),
                        pace_age_ms=round(usage.pace.age_s(clock.now()) * 1000),
                        last_event=run.transcript.last_event_id,
                    )
                    return None
        except UnwantedVersionError as error:
            # The events before stay. The head of the next run tells whether it may continue them.
            self.record_version(engine, run.job.model, error.version)
            why, is_failure = error.format_message(), False
        except (TruncatedStreamError, TimeoutError, ValueError) as error:
            why = repr(error)
        if is_failure and not run.is_unsendable:
            usage.fail(clock.now())
        metrics.ITEMS_TOTAL.labels("cut").inc()
        events.emit(
            events.ITEM_CUT,
            job=run.job.job_id,
            item=run.item.item_id,
            upstream=engine.incarnation,
            software=engine.software,
            why=why,
            last_event=run.transcript.last_event_id,
        )
        return None

    def discard_output(self, run: ItemRun, engine: Upstream) -> None:
        """Discard an output that the next engine may not continue."""
        origin = run.transcript.origin
        events.emit(
            events.OUTPUT_DISCARDED,
            job=run.job.job_id,
            item=run.item.item_id,
            upstream=engine.incarnation,
            software=engine.software,
            began_at=origin.software if origin else None,
            versions=run.transcript.versions,
            last_event=run.transcript.last_event_id,
        )
        metrics.OUTPUTS_DISCARDED.inc()
        run.transcript.restart()
        run.saved_events, run.software, run.generated_s = 0, [], 0.0

    async def was_complete(self, run: ItemRun, stream: RunStream) -> bool:
        """Return whether the output was already complete when this run resumed it.

        This happens if the previous run delivered its last event but the end of its stream was
        lost. The resumed run then ends at once without an event and reports no version.
        """
        if not run.transcript.data:
            return False
        chunks = stream.chunks()
        async with asyncio.timeout(STALL_TIMEOUT_S):
            return await anext(chunks, None) is None

    async def read_stream(
        self, run: ItemRun, stream: RunStream, usage: EngineUsage, engine: Upstream
    ) -> bool:
        """Read the events of a run; return True at the output's end, False on a move request."""
        origin = engine.origin if stream.is_confirmed else None
        run.transcript.begin_run(stream.version, origin)
        chunks = stream.chunks()
        last_event_at: float | None = None
        stalled_at = clock.now() + STALL_TIMEOUT_S
        while not run.move_requested:
            # Bytes that complete no event do not count as progress.
            async with asyncio.timeout(max(0.0, stalled_at - clock.now())):
                chunk = await anext(chunks, None)
            if chunk is None:
                run.transcript.check_complete()
                return True
            event_count = run.transcript.feed(chunk)
            now = clock.now()
            if event_count:
                stalled_at = now + STALL_TIMEOUT_S
            elif now >= stalled_at:
                raise TimeoutError(f"no event for {STALL_TIMEOUT_S} s")
            if event_count and last_event_at is None:
                usage.trial_runs += 1
                run.software = list(dict.fromkeys([*run.software, engine.software]))
            if (
                event_count
                and last_event_at is not None
                and not is_loading(self.loads.get(engine.incarnation), now)
            ):
                usage.pace.add(now - last_event_at, event_count, usage.in_flight, now)
            last_event_at = now if event_count else last_event_at
        return False

    def handle_error_answer(
        self, route: Route, run: ItemRun, engine: Upstream, usage: EngineUsage, answer: Answer
    ) -> ItemState | None:
        """Record an error answer of an engine; return FAILED if the item must not run again."""
        if answer.status == SERVER_ERROR_STATUS:
            run.server_errors += 1
        else:
            usage.fail(clock.now())
        events.emit(
            events.ITEM_CUT,
            job=run.job.job_id,
            item=run.item.item_id,
            upstream=engine.incarnation,
            software=engine.software,
            why=f"status {answer.status}",
            errors=run.server_errors,
        )
        if answer.status == UNPROCESSABLE_STATUS or run.server_errors >= route.max_attempts:
            return ItemState.FAILED
        return None

    def record_pace(self, run: ItemRun, usage: EngineUsage) -> None:
        """Record the time of a run, unless it completed an output that another run began."""
        if run.was_interrupted:
            return
        seconds = clock.now() - run.started_at
        self.run_time.add(seconds, 1)
        length = expected_length(run.item)
        if length:
            self.run_pace.add(seconds, length)
        if run.item.expected_tokens:
            usage.pace.service.add_output(length, len(run.transcript.data))

    def record_read(self, run: ItemRun, usage: EngineUsage, seconds: float) -> None:
        """Record the time until a run's first event, which includes reading the prompt."""
        speed = usage.pace
        if run.was_interrupted or not speed.seconds_per_event:
            return
        event_s = speed.expected_seconds(speed.service.tokens_per_event, usage.in_flight)
        speed.service.add_read(run.read_tokens, seconds - event_s)

    def record_version(self, engine: Upstream, model: str, version: int) -> None:
        """Record the weight version that an engine reported."""
        loads = self.loads.setdefault(engine.incarnation, EngineLoads())
        loads.versions[model] = version

    # Rewards and results

    async def score(self, run: ItemRun, reward: RewardCall) -> str:
        """Return the signature of the reward call's answer, empty if there will be none.

        The call failed too often, or it ends the upstreams that run it or cannot be sent, and the
        item may be abandoned.
        """
        while True:
            answer: Answer | Refusal | None = None
            route = self.table.match(reward.host, reward.path) if self.table else None
            if route is not None:
                answer = await self.call_reward(route, reward, run)
                if isinstance(answer, Answer) and 200 <= answer.status < 300 and answer.signature:
                    return answer.signature
                if isinstance(answer, Answer):
                    run.reward_errors += answer.server_errors
                events.emit(
                    events.REWARD_FAILED,
                    job=run.job.job_id,
                    item=run.item.item_id,
                    request=reward.request_id,
                    errors=run.reward_errors,
                    why=answer.reason if isinstance(answer, Refusal) else answer.status,
                )
                if run.reward_errors >= route.max_attempts:
                    return ""
            retry_at = clock.now() + self.reward_retry_s(answer)
            if isinstance(answer, Refusal) and answer.reason in HOPELESS_REASONS:
                abandon_at = self.abandon_at(run.job)
                if abandon_at <= clock.now():
                    return ""
                retry_at = min(retry_at, abandon_at)
            await asyncio.sleep(retry_at - clock.now())

    def may_list(self, run: ItemRun) -> bool:
        """Return whether an output may be listed under the route in force."""
        route = self.table.match(run.job.host, run.job.path) if self.table else None
        run.transcript.single_version |= route is not None and route.single_version
        return run.transcript.may_hold(run.transcript.versions)

    async def abandon(self, run: ItemRun) -> ItemState:
        """Wait until an item may be abandoned, without a slot at an engine."""
        while (left_s := self.abandon_at(run.job) - clock.now()) > 0:
            await asyncio.sleep(min(left_s, ABANDON_CHECK_S))
        return ItemState.FAILED

    def abandon_at(self, job: Job) -> float:
        """Return when the items of a job may be abandoned, on `clock.now`."""
        route = self.table.match(job.host, job.path) if self.table else None
        if route is None or not route.keep_ms:
            return float("inf")
        return self.seen_at.get(job.job_id, float("inf")) + route.keep_ms / 1000

    def reward_retry_s(self, answer: Answer | Refusal | None) -> float:
        """Return the pause before a reward call is sent again."""
        retry_after_s = answer.retry_after_s if isinstance(answer, Refusal) else None
        return max(REWARD_RETRY_S, retry_after_s or 0.0)

    async def call_reward(self, route: Route, reward: RewardCall, run: ItemRun) -> Answer | Refusal:
        """Send a reward call once the service has a slot for it."""
        service = route.backends[0].service
        timeout_s = min(REWARD_TIMEOUT_S, route.timeout_ms / 1000)
        call = Call(
            "POST",
            reward.path,
            reward.host,
            reward.request_id,
            reward.body,
            clock.now() + timeout_s,
            customer=upstream_customer(self.table, route, run.job.customer),
            caller=run.job.customer,
            # The trainer gives the call one id for all times that it is sent.
            attempt=secrets.token_hex(ATTEMPT_BYTES),
        )
        if self.forwarder.guard.is_stopped(call):
            # It needs no slot, and its time says nothing about those of other calls.
            return await self.forwarder.forward(route, call)
        async with self.rewards.hold(service, partial(self.reward_order, run)):
            call = evolve(call, deadline=clock.now() + timeout_s)
            return await self.forwarder.forward(route, call)

    def reward_order(self, run: ItemRun) -> Order:
        """Return the place of an item's reward call among those that wait for a slot now.

        Load pattern: more outputs are complete than can be scored. Groups that can still be in time
        come first, those with the fewest items left before others, so that groups become complete.
        """
        route = self.table.match(run.job.host, run.job.path) if self.table else None
        deadline_s = route.job_deadline_ms / 1000 if route else 0.0
        due_at = self.seen_at.get(run.job.job_id, 0.0) + deadline_s
        is_late = bool(deadline_s) and clock.now() > due_at + LATE_S
        left = self.capacity.unfinished_items(run.job.job_id, run.item.group)
        return is_late, run.is_spare, left, due_at

    def reward_limit(self, service: str) -> int:
        """Return how many reward calls may be in flight at a service.

        Calls wait in their order while the limits of all its upstreams leave no room.
        """
        if not is_on(Mechanism.REWARD_SLOTS):
            return sys.maxsize
        now = clock.now()
        is_short = self.forwarder.refused_recently(service, now)
        ready = self.forwarder.view.ready(service)
        found = [upstream for upstream in ready if not self.permits.wait_s(upstream, now)]
        if ready and not found:
            return self.rewards.in_flight[service]
        return reward_limit(found, is_short)

    async def commit_result(self, run: ItemRun, state: ItemState, score: str) -> None:
        """Commit an item's result; if leadership was lost, another leader runs the item again."""
        completed = state is ItemState.COMPLETED
        # The command holds only what is not in the replicated state yet.
        may_refer = completed and is_on(Mechanism.OUTPUT_ONCE)
        saved_events = min(run.saved_events, len(run.transcript.data) - 1) if may_refer else 0
        result = Result(
            run.item.item_id,
            state,
            run.transcript.output(saved_events) if completed else b"",
            sorted(run.transcript.versions) if completed else [],
            score,
        )
        if await self.commit(c.ListResult(run.job.job_id, result, saved_events)):
            metrics.ITEMS_TOTAL.labels(state).inc()
            events.emit(
                events.ITEM_LISTED,
                job=run.job.job_id,
                item=run.item.item_id,
                state=state,
                versions=result.versions,
                software=run.software,
            )

    # Lifecycle

    def forget(self, incarnations: set[str]) -> None:
        """Drop state of engines that are not among the given incarnations."""
        self.pool.forget(incarnations)

    def stop(self) -> None:
        """Cancel all runs; the next leader runs the items without a result again."""
        events.emit(events.RUNNER_STOPPED, runs=len(self.runs))
        for run in self.runs.values():
            if run.task is not None:
                run.task.cancel()
        self.waiting.clear()
        self.seen_at.clear()
        self.capacity.clear()
        self.read_tokens.clear()
        self.pool.reset()


def demand_of(job: Job, item: Item) -> Demand:
    """Return what an item of a job needs of an engine."""
    return Demand(job.model, job.min_version, expected_memory(item))
