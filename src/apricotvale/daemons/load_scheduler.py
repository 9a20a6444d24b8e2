"""Orders engines to load the published weight versions while this replica is the leader."""

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
from apricotvale.weights.messages import LoadMode, LoadOrder, OrderOutcome
from apricotvale.weights.orders import EngineLoads, PlannedLoad, Target, plan_loads

# An engine loads a version in 0.9 s, and takes longer while many engines load. An engine that is
# still loading refuses runs without executing them.
EXPECTED_LOAD_S = 1.0
# An unanswered order may still be executed seconds later. Repeating it is safe, since each order is
# void unless the engine has accepted exactly the number of orders that it states.
ORDER_RETRY_S = 0.5
PLAN_INTERVAL_S = 0.05


class LoadScheduler:
    """Sends load orders under the leader's fencing token.

    :param holder: this replica's name, sent with each order.
    :param may_send_orders: returns whether this replica leads and the previous leader's lease has
        expired, so that no orders of that leader can arrive.
    :param token: returns the current fencing token, which increases with each leader.
    """

    def __init__(
        self,
        state: FleetState,
        client: UpstreamClient,
        runner: JobRunner,
        holder: str,
        may_send_orders: Callable[[], bool],
        token: Callable[[], int],
    ) -> None:
        self.state = state
        self.client = client
        self.runner = runner
        self.holder = holder
        self.may_send_orders = may_send_orders
        self.token = token
        self.targets: dict[str, Target] = {}
        self.assigned: dict[str, set[str]] = {}
        self.next_plan_at = 0.0
        self.pending_orders: set[str] = set()
        self.fenced_off: set[str] = set()
        self.table: RouteTable | None = None
        self.tasks = TaskGroup()

    def tick(self, now: float) -> None:
        """Start an order for each load that is due."""
        for model, version in self.state.targets.items():
            held = self.targets.get(model)
            if held is None or held.version != version:
                self.targets[model] = Target(model, version, now)
        if now < self.next_plan_at or not self.may_send_orders():
            return
        self.next_plan_at = now + PLAN_INTERVAL_S
        engines = [
            upstream
            for upstream in self.state.registry.state.upstreams.values()
            if upstream.models and upstream.incarnation not in self.fenced_off
        ]
        in_flight = {
            (incarnation, model): runs
            for incarnation, usage in self.runner.usages.items()
            for model, runs in usage.by_model.items()
        }
        speeds = {
            engine.incarnation: 1.0 / usage.pace.seconds_per_event
            for engine in engines
            if (usage := self.runner.usages.get(engine.incarnation))
            and usage.pace.seconds_per_event
        }
        self.assigned = assign_engines(
            engines, self.demand(), self.runner.loads, self.assigned, speeds
        )
        planned = plan_loads(
            list(self.targets.values()),
            engines,
            self.runner.loads,
            in_flight,
            now,
            self.assigned,
            self.runner.waiting_work(),
        )
        for load in planned:
            incarnation = load.upstream.incarnation
            if incarnation not in self.pending_orders:
                self.pending_orders.add(incarnation)
                self.tasks.start(self.order(load))

    def demand(self) -> dict[str, float]:
        """Return the size of each model's latest job in tokens."""
        latest = dict.fromkeys(self.state.targets, 0.0)
        for record in self.state.jobs.state.records.values():
            latest[record.job.model] = float(sum(item.tokens for item in record.job.items))
        return latest

    async def order(self, load: PlannedLoad) -> None:
        """Order one load, and schedule a retry if it was not accepted."""
        upstream = load.upstream
        loads = self.runner.loads.setdefault(upstream.incarnation, EngineLoads())
        loads.loading_until = clock.now() + ORDER_RETRY_S
        loads.loading_model = load.model
        loads.retry_at = clock.now() + ORDER_RETRY_S
        try:
            why = await self.try_order(load, loads)
        finally:
            self.pending_orders.discard(upstream.incarnation)
        if why:
            loads.loading_until = clock.now()
            loads.retry_at = clock.now() + ORDER_RETRY_S
            events.emit(
                events.LOAD_POSTPONED,
                upstream=upstream.incarnation,
                model=load.model,
                version=load.version,
                why=why,
            )

    async def try_order(self, load: PlannedLoad, loads: EngineLoads) -> str:
        """Order a load unless another order intervenes; return why it failed, empty on success."""
        upstream = load.upstream
        report = await self.client.report(upstream)
        if isinstance(report, Refusal):
            return f"engine state request failed: {report.reason}"
        loads.versions.update(report.models)
        if report.models.get(load.model, 0) >= load.version:
            return "engine already holds the version"
        if report.busy:
            return "engine is executing another order"
        if not self.may_send_orders():
            return "leadership is not confirmed"
        token = self.token()
        mode = self.load_mode(upstream, load.model)
        order = LoadOrder(load.model, load.version, mode, self.holder, token, report.orders)
        outcome = await self.client.order(upstream, order)
        if outcome is OrderOutcome.FENCED_OFF:
            self.fenced_off.add(upstream.incarnation)
        if outcome is OrderOutcome.HOLDS_ALREADY:
            loads.versions[load.model] = load.version
            return "engine already holds the version"
        if outcome is not OrderOutcome.STARTED:
            return (
                f"order not accepted: {outcome.reason if isinstance(outcome, Refusal) else outcome}"
            )
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
            mode=mode,
            waited_ms=round((now - self.targets[load.model].since) * 1000),
        )
        return ""

    def load_mode(self, upstream: Upstream, model: str) -> LoadMode:
        """Return whether running items continue across the load or finish before it.

        Runs continue unless a route to the engine requires a single version for each output, or one
        did when they were begun: a route may have moved to another service since.
        """
        if self.runner.requires_single_version(upstream, model):
            return LoadMode.FINISH
        routes = self.table.routes if self.table else ()
        for route in routes:
            if route.single_version and any(b.service == upstream.service for b in route.backends):
                return LoadMode.FINISH
        return LoadMode.CONTINUE

    def stop(self) -> None:
        """Clear the state of this leadership."""
        self.targets.clear()
        self.assigned.clear()
        self.fenced_off.clear()
