"""Loading and validation of settings files.

All problems of a file are reported together, each with its file, key and value.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from apricotvale.exceptions import SettingsError
from apricotvale.settings.checker import Checker, Problem
from apricotvale.settings.schema import Deployment, ProcessSettings

NAMED_TABLES = ("pools", "services", "trainers")
OVERLAY_SITE_KEY = "site"
BASE_ONLY_KEYS = ("name", "region", "failure_domains")


def check_consistency(checker: Checker, deployment: Deployment) -> None:
    """Report values that are valid on their own but inconsistent with each other."""
    domains = deployment.failure_domains
    if not domains or len(set(domains)) != len(domains):
        checker.report("failure_domains", domains, "at least one name, without duplicates")
    for name, trainer in deployment.trainers.items():
        key = f"trainers.{name}"
        pool = deployment.pools.get(trainer.pool)
        if pool is None:
            checker.report(f"{key}.pool", trainer.pool, "a pool defined in this file")
        elif trainer.model not in pool.models:
            checker.report(f"{key}.model", trainer.model, f"a model of pool {trainer.pool}")
        if trainer.scorer and trainer.scorer not in deployment.services:
            checker.report(f"{key}.scorer", trainer.scorer, "a service defined in this file")
    for name, service in deployment.services.items():
        for index, route in enumerate(service.routes):
            check_route(checker, f"services.{name}.routes[{index}]", route)
    models = [model for pool in deployment.pools.values() for model in pool.models]
    if len(set(models)) != len(models):
        checker.report("pools", models, "each model in one pool only")
    control = deployment.control
    if control.sync_ms * 2 > control.lease_ms:
        checker.report("control.sync_ms", control.sync_ms, "at most half of control.lease_ms")


def check_route(checker: Checker, key: str, route: Any) -> None:
    """Report invalid or inconsistent values of a route."""
    if not route.path.startswith("/"):
        checker.report(f"{key}.path", route.path, "a path that begins with /")
    if route.hedge_after_ms and not route.idempotent:
        checker.report(
            f"{key}.hedge_after_ms", route.hedge_after_ms, "0, as the route is not idempotent"
        )
    if route.hedge_after_ms >= route.timeout_ms:
        checker.report(f"{key}.hedge_after_ms", route.hedge_after_ms, "less than timeout_ms")


def parse_toml(text: str, file: str) -> dict[str, Any]:
    """Parse TOML.

    :raises SettingsError: if the text is invalid; gives the position of the error.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([Problem(file, "", None, f"valid TOML ({error})")]) from error


def merge(base: dict[str, Any], overlay: dict[str, Any]) -> dict[str, Any]:
    """Return the base with the overlay's values replacing its own; tables are merged by key."""
    merged = dict(base)
    for name, value in overlay.items():
        base_value = merged.get(name)
        both_tables = isinstance(base_value, dict) and isinstance(value, dict)
        merged[name] = merge(base_value, value) if both_tables else value  # type: ignore[arg-type]
    return merged


def check_overlay(
    base: dict[str, Any], overlay: dict[str, Any], file: str, site: str
) -> list[Problem]:
    """Return the problems of an overlay in relation to its base and site."""
    checker = Checker(file)
    if overlay.get(OVERLAY_SITE_KEY) != site:
        checker.report(OVERLAY_SITE_KEY, overlay.get(OVERLAY_SITE_KEY), f"the site {site!r}")
    domains = base.get("failure_domains")
    if isinstance(domains, list) and site not in domains:
        checker.report(OVERLAY_SITE_KEY, site, f"one of {', '.join(map(str, domains))}")
    for key in BASE_ONLY_KEYS:
        if key in overlay:
            checker.report(key, overlay[key], "no value, as an overlay cannot change it")
    for table in NAMED_TABLES:
        section = overlay.get(table)
        entries = section if isinstance(section, dict) else {}
        for name in entries:
            if name not in base.get(table, {}):
                checker.report(f"{table}.{name}", entries[name], f"one of the {table} in the base")
    return checker.problems


def parse_deployment(base: str, overlay: str | None, site: str, file: str = "base") -> Deployment:
    """Return the deployment that is in effect at one site.

    :param base: text of the base file.
    :param overlay: text of the site's overlay, None if the site has none.
    :param site: failure domain whose overlay is given.
    :param file: file name to report.
    :raises SettingsError: with every problem found.
    """
    document = parse_toml(base, file)
    problems = []
    if overlay is not None:
        overlay_file = f"{file}+{site}"
        overlay_document = parse_toml(overlay, overlay_file)
        problems = check_overlay(document, overlay_document, overlay_file, site)
        overlay_document.pop(OVERLAY_SITE_KEY, None)
        document = merge(document, overlay_document)
        file = overlay_file
    checker = Checker(file)
    deployment = checker.build(Deployment, document, "")
    if deployment is not None and not checker.problems:
        check_consistency(checker, deployment)
    problems += checker.problems
    if problems:
        raise SettingsError(problems)
    return deployment


def check_deployment(base: str, overlays: dict[str, str]) -> dict[str, Deployment]:
    """Return the deployment that is in effect at each site.

    :param base: text of the base file.
    :param overlays: text of each overlay by site.
    :raises SettingsError: with the problems of all files, without repeating those of the base.
    """
    problems: list[Problem] = []
    deployments: dict[str, Deployment] = {}
    try:
        base_deployment = parse_deployment(base, None, "")
    except SettingsError as error:
        problems += error.problems
        base_deployment = None
    for site, overlay in overlays.items():
        try:
            deployments[site] = parse_deployment(base, overlay, site)
        except SettingsError as error:
            reported = {(problem.key, problem.expected) for problem in problems}
            problems += [p for p in error.problems if (p.key, p.expected) not in reported]
    if problems:
        raise SettingsError(problems)
    if base_deployment is not None:
        for site in base_deployment.failure_domains:
            deployments.setdefault(site, base_deployment)
    return deployments


def load_deployment(base: Path, overlays: list[Path]) -> tuple[str, dict[str, str]]:
    """Load and validate a base file and its overlays.

    :returns: the text of the base and the text of each overlay by site.
    :raises SettingsError: with every problem found.
    """
    texts = {}
    for path in overlays:
        text = read_text(path)
        site = parse_toml(text, str(path)).get(OVERLAY_SITE_KEY)
        if not isinstance(site, str):
            raise SettingsError([Problem(str(path), OVERLAY_SITE_KEY, site, "the name of a site")])
        texts[site] = text
    base_text = read_text(base)
    check_deployment(base_text, texts)
    return base_text, texts


def load_process(path: Path) -> ProcessSettings:
    """Load and validate the settings of one process.

    :raises SettingsError: with every problem found.
    """
    checker = Checker(str(path))
    settings = checker.build(ProcessSettings, parse_toml(read_text(path), str(path)), "")
    if settings is not None:
        check_process(checker, settings)
    if checker.problems:
        raise SettingsError(checker.problems)
    return settings


def check_process(checker: Checker, settings: ProcessSettings) -> None:
    """Report invalid or inconsistent values of process settings."""
    addresses = [("listen", settings.listen), *(("control", a) for a in settings.control)]
    addresses += [(f"replicas.{name}", address) for name, address in settings.replicas.items()]
    for key, address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            checker.report(key, address, "host:port")
    if settings.log_format not in ("json", "text"):
        checker.report("log_format", settings.log_format, "json or text")
    upstream = settings.upstream
    if upstream is not None and bool(upstream.pool) == bool(upstream.service):
        checker.report("upstream", upstream.pool, "exactly one of pool and service")
    if settings.replicas and len(settings.replicas) not in (1, 3, 5, 7):
        checker.report("replicas", sorted(settings.replicas), "1, 3, 5 or 7 replicas")
    if settings.replicas and settings.name not in settings.replicas:
        checker.report("name", settings.name, "one of the replicas")


def read_text(path: Path) -> str:
    """Return the text of a settings file.

    :raises SettingsError: if the file cannot be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            [Problem(str(path), "", None, f"a readable UTF-8 file ({error})")]
        ) from error
