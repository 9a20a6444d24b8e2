#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec python3 run.py
