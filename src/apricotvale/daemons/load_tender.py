"""Brings engines to the versions that trainers named, while this replica leads."""

from __future__ import annotations

from collections.abc import Callable

from apricotvale import clock, events
from apricotvale.daemons.job_runner import JobRunner
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.discovery import Upstream
from apricotvale.fleet.state import FleetState
from apricotvale.outcomes import Refusal
from apricotvale.requests.calls import UpstreamClient
from apricotvale.routes import RouteTable
from apricotvale.weights.assignment import assign_engines
from apricotvale.weights.orders import (
    EngineLoads,
    LoadMode,
    LoadOrder,
    OrderOutcome,
    PlannedLoad,
    Target,
    plan_loads,
)

# A load takes 0.9 s by the users' sheets, longer while many engines load; an engine that is not
# done yet refuses runs as not run.
EXPECTED_LOAD_S = 1.0
# An order without an answer may be carried out seconds late; its precondition keeps a repeated one
# from doing harm.
RETRY_S = 0.5


class LoadTender:
    """Orders loads as the only holder of its fencing token.

    :param holder: this replica's name, which orders carry.
    :param may_order: whether this replica surely leads and no former leader's orders may arrive.
    :param token: returns the fencing token in force, which grows with each leader.
    """

    def __init__(
        self,
        state: FleetState,
        client: UpstreamClient,
        runner: JobRunner,
        holder: str,
        may_order: Callable[[], bool],
        token: Callable[[], int],
    ) -> None:
        self.state = state
        self.client = client
        self.runner = runner
        self.holder = holder
        self.may_order = may_order
        self.token = token
        self.targets: dict[str, Target] = {}
        self.assigned: dict[str, set[str]] = {}
        self.ordering: set[str] = set()
        self.fenced_off: set[str] = set()
        self.table: RouteTable | None = None
        self.tasks = TaskGroup()

    def tick(self, now: float) -> None:
        """Order the loads that are due."""
        for model, version in self.state.targets.items():
            held = self.targets.get(model)
            if held is None or held.version != version:
                self.targets[model] = Target(model, version, now)
        if not self.may_order():
            return
        engines = [
            upstream
            for upstream in self.state.registry.state.upstreams.values()
            if upstream.models and upstream.incarnation not in self.fenced_off
        ]
        in_flight = {
            (incarnation, model): runs
            for incarnation, place in self.runner.places.items()
            for model, runs in place.by_model.items()
        }
        self.assigned = assign_engines(engines, self.demand(), self.runner.loads, self.assigned)
        planned = plan_loads(
            list(self.targets.values()),
            engines,
            self.runner.loads,
            in_flight,
            now,
            self.assigned,
            self.runner.needed_versions(),
        )
        for load in planned:
            incarnation = load.upstream.incarnation
            if incarnation not in self.ordering:
                self.ordering.add(incarnation)
                self.tasks.start(self.order(load))

    def demand(self) -> dict[str, float]:
        """Return the work of each model's latest job, in tokens."""
        latest = dict.fromkeys(self.state.targets, 0.0)
        for record in self.state.jobs.state.records.values():
            latest[record.job.model] = float(sum(item.tokens for item in record.job.items))
        return latest

    async def order(self, load: PlannedLoad) -> None:
        """Order one load, on the condition that no other order comes before it."""
        upstream = load.upstream
        loads = self.runner.loads.setdefault(upstream.incarnation, EngineLoads())
        loads.loading_until = clock.now() + RETRY_S
        loads.retry_at = clock.now() + RETRY_S
        try:
            why = await self.try_order(load, loads)
        finally:
            self.ordering.discard(upstream.incarnation)
        if why:
            loads.loading_until = clock.now()
            loads.retry_at = clock.now() + RETRY_S
            events.emit(
                events.LOAD_POSTPONED,
                upstream=upstream.incarnation,
                model=load.model,
                version=load.version,
                why=why,
            )

    async def try_order(self, load: PlannedLoad, loads: EngineLoads) -> str:
        """Order a load; return why it was not taken, empty if it was."""
        upstream = load.upstream
        report = await self.client.report(upstream)
        if isinstance(report, Refusal):
            return f"no report: {report.reason}"
        loads.versions.update(report.models)
        if report.models.get(load.model, 0) >= load.version:
            return "holds the version"
        if report.busy:
            return "another order is under way"
        if not self.may_order():
            return "leadership is not sure"
        token = self.token()
        order = LoadOrder(
            load.model, load.version, self.mode(upstream), self.holder, token, report.orders
        )
        outcome = await self.client.order(upstream, order)
        if outcome is OrderOutcome.FENCED_OFF:
            self.fenced_off.add(upstream.incarnation)
        if outcome is OrderOutcome.HOLDS_ALREADY:
            loads.versions[load.model] = load.version
            return "holds the version"
        if outcome is not OrderOutcome.STARTED:
            return f"answer: {outcome.reason if isinstance(outcome, Refusal) else outcome}"
        now = clock.now()
        loads.loading_until = now + EXPECTED_LOAD_S
        loads.retry_at = loads.loading_until
        loads.versions[load.model] = load.version
        events.emit(
            events.LOAD_ORDERED,
            upstream=upstream.incarnation,
            model=load.model,
            version=load.version,
            token=token,
            after_orders=report.orders,
            waited_ms=round((now - self.targets[load.model].since) * 1000),
        )
        return ""

    def mode(self, upstream: Upstream) -> LoadMode:
        """Return what becomes of an engine's runs: they go on where several versions may mix."""
        routes = self.table.routes if self.table else ()
        for route in routes:
            if route.single_version and any(b.service == upstream.service for b in route.backends):
                return LoadMode.FINISH
        return LoadMode.CONTINUE

    def stop(self) -> None:
        """Forget everything known from leading."""
        self.targets.clear()
        self.assigned.clear()
        self.fenced_off.clear()
