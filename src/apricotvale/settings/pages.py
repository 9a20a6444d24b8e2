"""The settings page of the documentation, made from the definitions."""

from __future__ import annotations

from typing import Any, get_args, get_origin, get_type_hints

import attrs

from apricotvale.settings.schema import Deployment, ProcessSettings


def settings_page() -> str:
    """Return the page as Markdown."""
    lines = [
        "# Settings",
        "",
        "Made by `apricotvale config describe`; CI compares it with the code. Keys that end in",
        "`_ms` are milliseconds, in `_bytes` bytes, in `_percent` hundredths.",
    ]
    lines += table("Deployment (base file and overlays)", Deployment, "")
    lines += table("Process", ProcessSettings, "")
    return "\n".join(lines) + "\n"


def table(title: str, kind: Any, prefix: str) -> list[str]:
    """Return the tables of a settings class and of those inside it."""
    lines = [
        "",
        f"## {title}",
        "",
        "| key | type | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    inner: list[tuple[str, Any, str]] = []
    hints = get_type_hints(kind)
    for attribute in attrs.fields(kind):
        hint = hints[attribute.name]
        nested = nested_class(hint)
        if nested is not None:
            named = get_origin(hint) is dict
            suffix = "NAME." if named else ""
            inner.append(
                (f"`{prefix}{attribute.name}`", nested, f"{prefix}{attribute.name}.{suffix}")
            )
        summary = attribute.metadata["summary"] + bounds(attribute.metadata)
        shown = "required" if attribute.default is attrs.NOTHING else default(attribute)
        lines.append(f"| `{prefix}{attribute.name}` | {type_name(hint)} | {shown} | {summary} |")
    for inner_title, nested, inner_prefix in inner:
        lines += table(inner_title, nested, inner_prefix)
    return lines


def nested_class(hint: Any) -> Any:
    """Return the settings class inside a type."""
    candidates = [hint, *get_args(hint)]
    return next((item for item in candidates if isinstance(item, type) and attrs.has(item)), None)


def type_name(hint: Any) -> str:
    """Return a type as readers know it."""
    if nested_class(hint) is not None:
        return "list of tables" if get_origin(hint) is list else "table"
    if get_origin(hint) is list:
        return "list of strings"
    if get_origin(hint) is dict:
        return "table of strings"
    if hasattr(hint, "__members__"):
        return " or ".join(f"`{member.value}`" for member in hint)
    return {"str": "string", "int": "integer", "bool": "true or false"}[hint.__name__]


def default(attribute: Any) -> str:
    """Return an attribute's default."""
    if isinstance(attribute.default, attrs.Factory):  # type: ignore[arg-type]
        return "empty"
    value = attribute.default
    value = getattr(value, "value", value)
    return f"`{str(value).lower() if isinstance(value, bool) else value}`"


def bounds(metadata: Any) -> str:
    """Return the bounds of a number."""
    least, most = metadata["least"], metadata["most"]
    if least is None:
        return ""
    return f" (at least {least})" if most is None else f" ({least} to {most})"
