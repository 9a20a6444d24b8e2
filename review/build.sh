#!/bin/sh
# Builds the stand-ins of the review. They are plain Python and need only a check of their syntax.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'PY'
import pathlib, sys
sys.dont_write_bytecode = True
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
