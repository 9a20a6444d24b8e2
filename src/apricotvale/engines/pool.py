"""What the leader knows about the engines on which it runs items."""

from __future__ import annotations

from attrs import define, field

from apricotvale.discovery import RegistryState, Standing, Upstream
from apricotvale.engines.prefixes import DEFAULT_MEMORY_TOKENS, PrefixCache
from apricotvale.engines.speed import EngineSpeed, ServiceSpeed
from apricotvale.jobs.placement import (
    TRIAL_S,
    Demand,
    EngineUsage,
    Outlook,
    SpeedRange,
    choose_engine,
    speed_range,
)
from apricotvale.jobs.types import Item, Job
from apricotvale.mechanisms import Mechanism, is_on
from apricotvale.routes import Route
from apricotvale.weights.orders import EngineLoads, known_version


@define
class ServiceEngines:
    """The engines of a set of services, with the facts that hold for one pass over the items.

    :param position: registry position of the list of engines.
    :param ready: incarnations of the engines that accept work.
    :param pass_at: time of the pass.
    """

    position: int
    engines: list[Upstream]
    ready: set[str]
    pass_at: float = float("-inf")
    speeds: SpeedRange = field(factory=SpeedRange)
    outlook: Outlook = field(factory=Outlook)


@define
class EnginePool:
    """Usage, loads, speed and cached prompts of the engines.

    :param usages: the leader's own runs by incarnation.
    :param loads: load state by incarnation.
    :param speeds: facts that engines share, by service.
    :param services: the engines by set of services.
    """

    usages: dict[str, EngineUsage] = field(factory=dict)
    loads: dict[str, EngineLoads] = field(factory=dict)
    speeds: dict[str, ServiceSpeed] = field(factory=dict)
    prefixes: PrefixCache = field(factory=PrefixCache)
    services: dict[frozenset[str], ServiceEngines] = field(factory=dict)

    def find(
        self, registry: RegistryState, names: frozenset[str], now: float, run_s: float = 0.0
    ) -> ServiceEngines:
        """Return the engines of services.

        Their speeds and the outlook are computed once for all calls with the same time. An engine
        that begins to accept work while this replica leads is on trial.

        :param run_s: average time of a run, 0 if it is unknown.
        """
        found = self.services.get(names)
        if found is None or found.position != registry.position:
            engines = [u for u in registry.upstreams.values() if u.service in names]
            ready = {e.incarnation for e in engines if e.standing is Standing.READY}
            for engine in engines:
                if engine.incarnation not in self.usages:
                    speed = EngineSpeed(self.speed_of(engine.service))
                    self.usages[engine.incarnation] = EngineUsage(pace=speed)
            for incarnation in ready - found.ready if found else ():
                usage = self.usages[incarnation]
                usage.trial_until, usage.trial_runs = now + TRIAL_S, 0
            found = self.services[names] = ServiceEngines(registry.position, engines, ready)
        if found.pass_at != now:
            known = {e.incarnation: self.usages[e.incarnation] for e in found.engines}
            for usage in known.values():
                usage.pace.expire(now)
            found.pass_at = now
            found.speeds = speed_range(known)
            found.outlook = Outlook(run_s) if run_s else Outlook()
        return found

    def choose(
        self,
        found: ServiceEngines,
        job: Job,
        item: Item,
        demand: Demand,
        now: float,
        memory_tokens: int,
        may_wait: bool,
        closed: set[str],
    ) -> Upstream | None:
        """Return the engine for an item, or None if no engine can take it.

        :param found: the engines of the item's services.
        :param may_wait: whether the item may wait for a faster engine.
        :param closed: incarnations that get no run now: they stated that they leave, or their limit
            leaves no room.
        """
        parts = item.prompt_parts if is_on(Mechanism.CACHED_PREFIXES) else ()
        engines = found.engines
        if closed:
            engines = [engine for engine in engines if engine.incarnation not in closed]
        return choose_engine(
            engines,
            self.usages,
            self.loads,
            demand,
            now,
            memory_tokens,
            self.prefixes.cached_tokens(job.model, parts) if parts else {},
            found.outlook if may_wait else None,
            found.speeds,
        )

    def speed_of(self, service: str) -> ServiceSpeed:
        """Return the facts that the engines of a service share."""
        return self.speeds.setdefault(service, ServiceSpeed())

    def version_of(self, engine: Upstream, model: str) -> int:
        """Return the newest version of a model that an engine is known to hold."""
        return known_version(engine, self.loads.get(engine.incarnation), model)

    def record_prompt(self, engine: Upstream, job: Job, item: Item, memory_tokens: int) -> int:
        """Record that an engine gets an item's prompt; return the tokens that it has cached.

        :param memory_tokens: the engine's memory in tokens; 0 if it is unknown.
        """
        if not item.prompt_parts:
            return 0
        version = self.version_of(engine, job.model)
        found = self.prefixes.cached_tokens(job.model, item.prompt_parts)
        held_version, tokens = found.get(engine.incarnation, (version, 0))
        used = self.usages[engine.incarnation].expected_tokens
        free = max(0, (memory_tokens or DEFAULT_MEMORY_TOKENS) - used)
        self.prefixes.add(engine.incarnation, job.model, version, item.prompt_parts, free)
        return min(tokens, item.prompt_tokens) if held_version == version else 0

    def forget(self, incarnations: set[str]) -> None:
        """Drop state of engines that are not among the given incarnations."""
        for incarnation in [known for known in self.usages if known not in incarnations]:
            if not self.usages[incarnation].in_flight:
                del self.usages[incarnation]
        for incarnation in [known for known in self.loads if known not in incarnations]:
            del self.loads[incarnation]
        for incarnation in [known for known in self.prefixes.engines if known not in incarnations]:
            self.prefixes.forget(incarnation)
        for found in self.services.values():
            found.position = -1

    def reset(self) -> None:
        """Forget the speeds and prompts, which are out of date when this replica leads again."""
        self.prefixes.clear()
        self.services.clear()
        for usage in self.usages.values():
            usage.pace.forget()


def services_of(route: Route) -> frozenset[str]:
    """Return the services of a route that get requests."""
    return frozenset(backend.service for backend in route.backends if backend.weight > 0)
