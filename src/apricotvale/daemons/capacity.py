"""Watches whether the engines can run the open jobs in time, and plans the jobs if they cannot."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from apricotvale import events, metrics
from apricotvale.customers.access import urgency
from apricotvale.discovery import Standing, Upstream
from apricotvale.fleet.state import FleetState
from apricotvale.jobs import Job
from apricotvale.jobs.backlog import ItemKey, OpenJob
from apricotvale.jobs.contention import Activity, Contention
from apricotvale.jobs.placement import EngineUsage
from apricotvale.jobs.planning import Prospect
from apricotvale.jobs.store import JobRecord
from apricotvale.jobs.transcript import Transcript
from apricotvale.mechanisms import Mechanism, is_on
from apricotvale.routes import Route, RouteTable

Services = frozenset[str]
MAX_CLASS_LABEL = 9


class StartedItem(Protocol):
    """An item that runs, or whose run was interrupted."""

    transcript: Transcript
    engine: Upstream | None
    started_at: float
    move_requested: bool


class CapacityPlanner:
    """The contention of open jobs, by the services whose engines they need.

    :param state: the replicated state.
    :param runs: the items that run or wait for their reward call; `waiting` those interrupted.
    :param seen_at: when this leader first saw each job.
    :param pace: returns the time of a run for each expected token of its output.
    :param reward_rate: returns how many reward calls can be answered in a second.
    :param run_s: returns the average time of a run, 0 if it is unknown.
    """

    def __init__(
        self,
        state: FleetState,
        runs: Mapping[ItemKey, StartedItem],
        waiting: Mapping[ItemKey, StartedItem],
        usages: Mapping[str, EngineUsage],
        seen_at: Mapping[str, float],
        pace: Callable[[], float],
        reward_rate: Callable[[], float],
        run_s: Callable[[], float],
    ) -> None:
        self.state = state
        self.runs = runs
        self.waiting = waiting
        self.usages = usages
        self.seen_at = seen_at
        self.pace = pace
        self.reward_rate = reward_rate
        self.run_s = run_s
        self.table: RouteTable | None = None
        self.pools: dict[Services, Contention] = {}
        self.services_of: dict[str, Services] = {}

    def update(self, records: list[JobRecord], table: RouteTable | None, now: float) -> None:
        """Record the open jobs, their results and runs; make the plans that are due."""
        self.record_jobs(records, table)
        for services, pool in self.pools.items():
            activity = self.activity(services, pool, now)
            pool.count_served(activity, now)
            if now < pool.next_plan_at or not is_on(Mechanism.GROUP_PLAN):
                continue
            if pool.update(activity, now):
                began = pool.overload.is_active
                events.emit(
                    events.OVERLOAD_BEGAN if began else events.OVERLOAD_ENDED,
                    services=sorted(services),
                    ratio=round(pool.ratio, 2),
                    slots=activity.slots,
                    jobs=len(pool.jobs),
                    pace_ms=round(activity.seconds_per_token * 1000, 3),
                )
            self.report(pool, activity, now)
            self.stop_expired_runs(pool, activity)

    def record_jobs(self, records: list[JobRecord], table: RouteTable | None) -> None:
        """Add jobs that were accepted, drop those that are no longer open, and apply results."""
        if table is not self.table:
            # The routes decide on due times, urgency and services.
            self.table = table
            self.services_of.clear()
            for pool in self.pools.values():
                pool.jobs.clear()
        open_ids = {record.job.job_id for record in records}
        for job_id in [job_id for job_id in self.services_of if job_id not in open_ids]:
            self.pools[self.services_of.pop(job_id)].forget(job_id)
        for record in records:
            job = record.job
            if job.job_id not in self.services_of:
                self.add_job(record)
            if job.job_id in self.services_of:
                self.pools[self.services_of[job.job_id]].jobs[job.job_id].apply(record.results)

    def add_job(self, record: JobRecord) -> None:
        """Add a job if a route matches it."""
        job = record.job
        route = self.table.match(job.host, job.path) if self.table else None
        if route is None:
            return
        services = services_of(route)
        opened = self.open_job(job, route, self.seen_at[job.job_id], record.accepted_at)
        opened.begin(record.progress)
        self.services_of[job.job_id] = services
        self.pools.setdefault(services, Contention()).jobs[job.job_id] = opened

    def open_job(self, job: Job, route: Route, seen_at: float, accepted_at: float) -> OpenJob:
        """Return the work of a job, with the items that an earlier job of its trainer had."""
        assert self.table is not None
        repeated: set[str] = set()
        if job.model:
            ids = {item.item_id for item in job.items}
            for other in self.state.jobs.state.records.values():
                if other.job.model == job.model and other.accepted_at < accepted_at:
                    repeated.update(item.item_id for item in other.job.items if item.item_id in ids)
        return OpenJob(job, route, seen_at, urgency(self.table, route, job.customer), repeated)

    def activity(self, services: Services, pool: Contention, now: float) -> Activity:
        """Return what has been started of a pool's jobs, and the slots of its ready engines."""
        paces = [usage.pace.seconds_per_event for usage in self.usages.values()]
        paces = [pace for pace in paces if pace]
        event_s = sum(paces) / len(paces) if paces else 0.0
        generated_s: dict[ItemKey, float | None] = {}
        if now >= pool.next_plan_at:
            for job_id in pool.jobs:
                record = self.state.jobs.state.records.get(job_id)
                for item_id, progress in record.progress.items() if record else ():
                    generated_s[job_id, item_id] = len(progress.data) * event_s
        for key, run in self.waiting.items():
            if key[0] in pool.jobs:
                generated_s[key] = len(run.transcript.data) * event_s
        running = set()
        for key, run in self.runs.items():
            if key[0] not in pool.jobs:
                continue
            if run.engine is None:
                generated_s[key] = None
                continue
            running.add(key)
            generated_s[key] = max(now - run.started_at, len(run.transcript.data) * event_s)
        slots = self.slots(services)
        return Activity(generated_s, running, slots, self.pace(), self.reward_rate())

    def unfinished_items(self, job_id: str, group: str) -> int:
        """Return how many items of a group have no result yet, 0 for an unknown group."""
        services = self.services_of.get(job_id)
        opened = self.pools[services].jobs[job_id].groups.get(group) if services else None
        return len(opened.items) if opened else 0

    def slots(self, services: Services) -> int:
        """Return the slots of the ready engines of services that their limits let runs take."""
        run_s = self.run_s()
        return sum(
            usable_slots(upstream, run_s)
            for upstream in self.state.registry.state.upstreams.values()
            if upstream.service in services and upstream.standing is Standing.READY
        )

    def report(self, pool: Contention, activity: Activity, now: float) -> None:
        """Set the metrics of a plan, and log the groups that it postpones."""
        metrics.WORK_RATIO.set(max(pool.ratio for pool in self.pools.values()))
        waiting = dict.fromkeys(range(MAX_CLASS_LABEL + 1), 0)
        for job in pool.jobs.values():
            label = min(max(0, job.urgency), MAX_CLASS_LABEL)
            waiting[label] += sum(len(group.items) for group in job.groups.values())
        for job_id, _ in activity.running:
            waiting[min(max(0, pool.jobs[job_id].urgency), MAX_CLASS_LABEL)] -= 1
        for label, count in waiting.items():
            metrics.ITEMS_WAITING.labels(str(label)).set(max(0, count))
        for entry in pool.newly_postponed():
            metrics.GROUPS_POSTPONED.inc()
            events.emit(
                events.GROUP_POSTPONED,
                job=entry.work.job_id,
                group=entry.work.group,
                reason="late" if entry.prospect is Prospect.LATE else "no capacity",
                work_s=round(entry.work.work_s, 2),
                longest_s=round(entry.work.longest_s, 2),
                due_in_ms=round((entry.work.due_at - now) * 1000),
                ratio=round(pool.ratio, 2),
                slots=activity.slots,
            )

    def stop_expired_runs(self, pool: Contention, activity: Activity) -> None:
        """Stop runs of jobs past their give-up time for waiting items that can be in time.

        The output so far is kept, and the runs continue when slots are free.
        """
        expired = pool.expired_jobs()
        if not expired or len(activity.running) < activity.slots:
            return
        count = pool.in_time_waiting()
        for key in activity.running:
            if count > 0 and key[0] in expired:
                self.runs[key].move_requested = True
                count -= 1

    def is_planned(self, job_id: str) -> bool:
        """Return whether a plan orders the items of a job."""
        services = self.services_of.get(job_id)
        return services is not None and self.pools[services].order is not None

    def refuse(
        self, job: Job, records: list[JobRecord], table: RouteTable | None, now: float
    ) -> float | None:
        """Return the time until a new job may be submitted again, None if it is accepted."""
        route = table.match(job.host, job.path) if table else None
        if route is None or not is_on(Mechanism.GROUP_PLAN):
            return None
        self.record_jobs([r for r in records if r.job.job_id in self.seen_at], table)
        services = services_of(route)
        pool = self.pools.get(services) or Contention()
        activity = self.activity(services, pool, now)
        if len(activity.running) < activity.slots:
            return None
        opened = self.open_job(job, route, now, float("inf"))
        retry_after_s = pool.refuse(opened, activity, now)
        if retry_after_s is not None:
            events.emit(
                events.JOB_REFUSED,
                job=job.job_id,
                items=len(job.items),
                urgency=opened.urgency,
                slots=activity.slots,
                ratio=round(pool.ratio, 2),
                open_jobs=len(pool.jobs),
                retry_after_s=round(retry_after_s, 3),
            )
        return retry_after_s

    def clear(self) -> None:
        """Forget everything at the end of the leadership."""
        self.pools.clear()
        self.services_of.clear()


def usable_slots(engine: Upstream, run_s: float) -> int:
    """Return the slots that runs of an average time take if they start at the engine's limit.

    :param run_s: in seconds, 0 if it is unknown.
    """
    if engine.limit is None or not run_s:
        return engine.capacity
    return min(engine.capacity, max(1, round(engine.limit * run_s)))


def services_of(route: Route) -> Services:
    """Return the services whose engines run a route's items."""
    return frozenset(backend.service for backend in route.backends if backend.weight > 0)
