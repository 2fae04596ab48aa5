#!/bin/sh
# Builds every stand-in of the cases: Python files that need the standard library only.
set -e
cd "$(dirname "$0")/.."
[ -x .venv/bin/python ] || python3 -m venv .venv
.venv/bin/python -m compileall -q review/stand_ins
