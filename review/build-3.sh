#!/bin/sh
# Compiles the stand-ins and scripts of the cases 11 to 15, which use the standard library only.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q kit3 11 12 13 14 15
