"""Runs the items of open jobs while this replica leads."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from attrs import define

from apricotvale import clock, events, metrics
from apricotvale.daemons.forwarder import Forwarder
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.discovery import Upstream
from apricotvale.exceptions import StreamCutError
from apricotvale.fleet import commands as c
from apricotvale.fleet.state import FleetState
from apricotvale.jobs import Item, ItemState, Job, Progress, Result, RewardCall
from apricotvale.jobs.order import in_running_order
from apricotvale.jobs.placement import Place, choose_engine, is_worth_moving
from apricotvale.jobs.transcript import Transcript
from apricotvale.outcomes import Refusal
from apricotvale.requests.calls import Answer, Call, RunRequest, RunStream, UpstreamClient
from apricotvale.routes import Route, RouteTable
from apricotvale.weights.orders import EngineLoads, is_loading

# A run without an event for so long goes on elsewhere: a load of weights, which pauses a run that
# continues over it, takes about 1 s.
STALL_S = 2.5
RETRY_S = 0.2
# What a run has generated is kept from this age on, so that a new leader need not begin it anew:
# most items are whole before, and a step's longest ones take most of its time.
SAVE_AFTER_S = 1.0
SAVE_EVERY_S = 0.5
# A run shorter than this is not worth moving.
MOVE_AFTER_S = 0.3
MOVES_AT_ONCE = 2
MOVE_EVERY_S = 0.1
REWARD_TIMEOUT_S = 3.0
# Share of a service's places that reward calls may fill: the rest is for callers who wait.
REWARD_SHARE = 0.5
IMPOSSIBLE = 422
SERVER_ERROR = 500


@define
class ItemRun:
    """An item that the runner works on."""

    job: Job
    item: Item
    transcript: Transcript
    server_errors: int = 0
    reward_errors: int = 0
    engine: Upstream | None = None
    began: float = 0.0
    moving: bool = False
    saved_events: int = 0
    task: asyncio.Task[None] | None = None


class JobRunner:
    """Places, runs, resumes and scores items.

    :param state: the replicated state.
    :param client: sends to upstreams.
    :param forwarder: sends the reward calls.
    :param commit: commits a command; false if this replica no longer leads.
    :param version_field: name of the line by which an event states a new weight version.
    """

    def __init__(
        self,
        state: FleetState,
        client: UpstreamClient,
        forwarder: Forwarder,
        commit: Callable[[c.Command], Awaitable[bool]],
        version_field: str,
    ) -> None:
        self.state = state
        self.client = client
        self.forwarder = forwarder
        self.commit = commit
        self.version_field = version_field
        self.table: RouteTable | None = None
        self.places: dict[str, Place] = {}
        self.loads: dict[str, EngineLoads] = {}
        self.runs: dict[tuple[str, str], ItemRun] = {}
        self.waiting: dict[tuple[str, str], ItemRun] = {}
        self.rewards_in_flight: Counter[str] = Counter()
        self.reward_freed = asyncio.Event()
        self.seen_at: dict[str, float] = {}
        self.move_at = 0.0
        self.tasks = TaskGroup()

    def tick(self, now: float) -> None:
        """Stop what is no longer wanted and start what has a place."""
        records = self.state.jobs.open_records()
        wanted = {record.job.job_id for record in records}
        for key, run in list(self.runs.items()):
            if key[0] not in wanted and run.task is not None:
                run.task.cancel()
        for key in [key for key in self.waiting if key[0] not in wanted]:
            del self.waiting[key]
        for record in records:
            self.seen_at.setdefault(record.job.job_id, now)
            items = in_running_order(record.job, self.state.jobs.unlisted(record))
            self.start_items(record.job, items, now)
        if now >= self.move_at:
            self.move_at = now + MOVE_EVERY_S
            self.move_runs(now)

    def start_items(self, job: Job, items: list[Item], now: float) -> None:
        """Start as many items of a job as find a place, in their order."""
        route = self.table.match(job.host, job.path) if self.table else None
        if route is None:
            return
        for item in items:
            key = (job.job_id, item.item_id)
            if key in self.runs:
                continue
            engine = self.place(route, job, item, now)
            if engine is None:
                return
            run = self.waiting.pop(key, None) or self.new_run(job, item)
            run.engine, run.began, run.moving = engine, now, False
            self.runs[key] = run
            place = self.places.setdefault(engine.incarnation, Place())
            place.begin(job.model)
            run.task = self.tasks.start(self.run_item(route, run, engine, place))

    def needed_versions(self) -> dict[str, int]:
        """Return the oldest version by model that items waiting for an engine accept."""
        needed: dict[str, int] = {}
        for record in self.state.jobs.open_records():
            job = record.job
            waits = any(
                (job.job_id, item.item_id) not in self.runs
                for item in self.state.jobs.unlisted(record)
            )
            if waits:
                needed[job.model] = max(needed.get(job.model, 0), job.min_version)
        return needed

    def move_runs(self, now: float) -> None:
        """Let runs on slow engines go on at much faster ones that have free places."""
        if self.table is None:
            return
        moved: Counter[str] = Counter()
        for run in self.runs.values():
            if run.engine is None or run.moving or now < run.began + MOVE_AFTER_S:
                continue
            route = self.table.match(run.job.host, run.job.path)
            other = self.find_engine(route, run.job, now) if route else None
            if other is None or not is_worth_moving(run.engine, other, self.places):
                continue
            if moved[other.incarnation] < MOVES_AT_ONCE:
                moved[other.incarnation] += 1
                run.moving = True

    def new_run(self, job: Job, item: Item) -> ItemRun:
        """Return the record of an item that this leader has not begun."""
        run = ItemRun(job, item, Transcript(self.version_field))
        record = self.state.jobs.state.records.get(job.job_id)
        progress = record.progress.get(item.item_id) if record else None
        if progress is not None:
            run.transcript.resume(progress)
            run.saved_events = len(progress.data)
        return run

    async def save_progress(self) -> None:
        """Commit what long items have generated since the last time, while this replica leads."""
        by_job: dict[str, list[Progress]] = {}
        now = clock.now()
        saved = []
        for run in self.runs.values():
            made = len(run.transcript.data)
            if run.engine is None or now < run.began + SAVE_AFTER_S or made <= run.saved_events:
                continue
            progress = run.transcript.progress_since(run.item.item_id, run.saved_events)
            by_job.setdefault(run.job.job_id, []).append(progress)
            saved.append((run, made))
        if by_job:
            jobs = [c.JobProgress(job_id, items) for job_id, items in by_job.items()]
            if await self.commit(c.SaveProgress(jobs)):
                for run, made in saved:
                    run.saved_events = made

    def find_engine(self, route: Route, job: Job, now: float) -> Upstream | None:
        """Return the engine on which an item of a job should run."""
        services = {backend.service for backend in route.backends if backend.weight > 0}
        engines = [
            upstream
            for upstream in self.state.registry.state.upstreams.values()
            if upstream.service in services
        ]
        return choose_engine(engines, self.places, self.loads, job.model, job.min_version, now)

    def place(self, route: Route, job: Job, item: Item, now: float) -> Upstream | None:
        """Return the engine for an item, and log the choice."""
        engine = self.find_engine(route, job, now)
        if engine is not None:
            place = self.places.get(engine.incarnation) or Place()
            events.emit(
                events.ITEM_PLACED,
                job=job.job_id,
                item=item.item_id,
                upstream=engine.incarnation,
                in_flight=place.in_flight,
                pace_ms=round(place.pace.seconds_a_token * 1000, 1),
                expected_tokens=item.expected_tokens,
                registry=self.state.registry.state.position,
            )
        return engine

    # -- one item

    async def run_item(self, route: Route, run: ItemRun, engine: Upstream, place: Place) -> None:
        """Run an item once; list its result, or leave it waiting for another run."""
        key = (run.job.job_id, run.item.item_id)
        try:
            try:
                state = await self.generate(route, run, engine, place)
            finally:
                place.end(run.job.model)
                run.engine = None
            if state is ItemState.COMPLETED and run.item.reward is not None:
                score = await self.score(run, run.item.reward)
                state = ItemState.COMPLETED if score else ItemState.FAILED
            else:
                score = ""
            if state is None:
                self.waiting[key] = run
                return
            await self.list_result(run, state, score)
        finally:
            self.runs.pop(key, None)

    async def generate(
        self, route: Route, run: ItemRun, engine: Upstream, place: Place
    ) -> ItemState | None:
        """Run the text to its end on an engine; None if it has to go on elsewhere."""
        request = RunRequest(
            run.item.path,
            run.job.host,
            run.item.item_id,
            run.item.body,
            run.item.headers,
            run.transcript.last_event_id,
        )
        why = ""
        try:
            async with self.client.run(engine, request) as stream:
                if isinstance(stream, Answer):
                    return self.failed_answer(route, run, engine, place, stream)
                if isinstance(stream, Refusal):
                    why = f"{stream.reason}: {stream.detail}"
                elif not stream.version:
                    if await self.was_whole(run, stream):
                        return ItemState.COMPLETED
                    why = "the engine stated no version"
                elif stream.version < run.job.min_version:
                    why = f"version {stream.version} is older than {run.job.min_version}"
                    self.note_version(engine, run.job.model, stream.version)
                else:
                    self.note_version(engine, run.job.model, stream.version)
                    if route.single_version and run.transcript.versions != [stream.version]:
                        run.transcript.restart()
                        run.saved_events = 0
                    whole = await self.read_stream(run, stream, place, engine)
                    place.succeed()
                    if whole:
                        return ItemState.COMPLETED
                    events.emit(
                        events.ITEM_MOVED,
                        job=run.job.job_id,
                        item=run.item.item_id,
                        upstream=engine.incarnation,
                        pace_ms=round(place.pace.seconds_a_token * 1000, 1),
                        last_event=run.transcript.last_event_id,
                    )
                    return None
        except (StreamCutError, TimeoutError, ValueError) as error:
            why = repr(error)
        place.fail(clock.now())
        metrics.ITEMS_TOTAL.labels("cut").inc()
        events.emit(
            events.ITEM_CUT,
            job=run.job.job_id,
            item=run.item.item_id,
            upstream=engine.incarnation,
            why=why,
            last_event=run.transcript.last_event_id,
        )
        return None

    async def was_whole(self, run: ItemRun, stream: RunStream) -> bool:
        """Return whether a run that goes on behind the last event of a whole text ends at once.

        The end of the run before it was lost. Such a run makes nothing, so it states no version.
        """
        if not run.transcript.data:
            return False
        chunks = stream.chunks()
        async with asyncio.timeout(STALL_S):
            return await anext(chunks, None) is None

    async def read_stream(
        self, run: ItemRun, stream: RunStream, place: Place, engine: Upstream
    ) -> bool:
        """Take the events of a run; return whether it came to its end, and was not moved."""
        run.transcript.begin_run(stream.version)
        chunks = stream.chunks()
        last: float | None = None
        while not run.moving:
            async with asyncio.timeout(STALL_S):
                chunk = await anext(chunks, None)
            if chunk is None:
                run.transcript.check_end()
                return True
            made = run.transcript.feed(chunk)
            now = clock.now()
            if (
                made
                and last is not None
                and not is_loading(self.loads.get(engine.incarnation), now)
            ):
                place.pace.add(now - last, made)
            last = now if made else last
        return False

    def failed_answer(
        self, route: Route, run: ItemRun, engine: Upstream, place: Place, answer: Answer
    ) -> ItemState | None:
        """Return what an engine's failure means for the item."""
        if answer.status == SERVER_ERROR:
            run.server_errors += 1
        else:
            place.fail(clock.now())
        events.emit(
            events.ITEM_CUT,
            job=run.job.job_id,
            item=run.item.item_id,
            upstream=engine.incarnation,
            why=f"status {answer.status}",
            errors=run.server_errors,
        )
        if answer.status == IMPOSSIBLE or run.server_errors >= route.max_attempts:
            return ItemState.FAILED
        return None

    def note_version(self, engine: Upstream, model: str, version: int) -> None:
        """Remember the weight version that an answer named."""
        loads = self.loads.setdefault(engine.incarnation, EngineLoads())
        loads.versions[model] = version

    # -- its reward and result

    async def score(self, run: ItemRun, reward: RewardCall) -> str:
        """Return the score of a finished text, empty if the call failed too often."""
        while True:
            route = self.table.match(reward.host, reward.path) if self.table else None
            if route is not None:
                answer = await self.call_reward(route, reward)
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
            await asyncio.sleep(RETRY_S)

    async def call_reward(self, route: Route, reward: RewardCall) -> Answer | Refusal:
        """Send a reward call once it finds a free place among the others."""
        service = route.backends[0].service
        while self.rewards_in_flight[service] >= self.reward_limit(service):
            self.reward_freed.clear()
            await self.reward_freed.wait()
        self.rewards_in_flight[service] += 1
        try:
            timeout_s = min(REWARD_TIMEOUT_S, route.timeout_ms / 1000)
            call = Call(
                "POST",
                reward.path,
                reward.host,
                reward.request_id,
                reward.body,
                clock.now() + timeout_s,
            )
            return await self.forwarder.forward(route, call)
        finally:
            self.rewards_in_flight[service] -= 1
            self.reward_freed.set()

    def reward_limit(self, service: str) -> int:
        """Return how many reward calls may be in flight at a service."""
        places = sum(upstream.capacity for upstream in self.forwarder.view.ready(service))
        return max(1, int(places * REWARD_SHARE))

    async def list_result(self, run: ItemRun, state: ItemState, score: str) -> None:
        """Commit an item's result."""
        completed = state is ItemState.COMPLETED
        result = Result(
            run.item.item_id,
            state,
            run.transcript.output() if completed else b"",
            sorted(run.transcript.versions) if completed else [],
            score,
        )
        if await self.commit(c.ListResult(run.job.job_id, result)):
            metrics.ITEMS_TOTAL.labels(state).inc()
            events.emit(
                events.ITEM_LISTED,
                job=run.job.job_id,
                item=run.item.item_id,
                state=state,
                versions=result.versions,
            )

    # -- life

    def forget(self, incarnations: set[str]) -> None:
        """Drop what is known of engines that are gone."""
        for incarnation in [known for known in self.places if known not in incarnations]:
            if not self.places[incarnation].in_flight:
                del self.places[incarnation]
        for incarnation in [known for known in self.loads if known not in incarnations]:
            del self.loads[incarnation]

    def stop(self) -> None:
        """Stop all runs; another leader runs again what is not listed."""
        events.emit(events.RUNNER_STOPPED, runs=len(self.runs))
        for run in self.runs.values():
            if run.task is not None:
                run.task.cancel()
        self.waiting.clear()
        self.seen_at.clear()
