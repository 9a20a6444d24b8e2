"""Names of the platform's wire interface occur only in the platform package."""

from __future__ import annotations

import ast
import re
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "apricotvale"
WIRE_NAMES = re.compile(
    r"server-stamp|not-executed|expect-instance|replica-id|weight-versions|length-hint"
    r"|/api/|path_prefix|target_latency|run_deadline|heartbeat_address|fencing_token\b.*\"|fleetbench"
    r"|backends\"|APRICOTVALE_BOOT"
    r"|x-api-key|api_key|\btenants?\b",
    re.IGNORECASE,
)


def test_wire_names_occur_only_in_platform_package():
    found = [
        f"{path.relative_to(SOURCE)}:{number}: {line.strip()}"
        for path in sorted(SOURCE.rglob("*.py"))
        if "platform" not in path.parts
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WIRE_NAMES.search(line)
    ]
    assert found == []


def test_no_field_of_a_log_event_hides_its_number_or_name():
    found = [
        f"{path.relative_to(SOURCE)}:{call.lineno}: {keyword.arg}"
        for path in sorted(SOURCE.rglob("*.py"))
        for call in ast.walk(ast.parse(path.read_text()))
        if isinstance(call, ast.Call)
        and isinstance(call.func, ast.Attribute)
        and ast.unparse(call.func) == "events.emit"
        for keyword in call.keywords
        if keyword.arg in ("event", "name")
    ]
    assert found == []
