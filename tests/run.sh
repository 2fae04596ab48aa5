#!/usr/bin/env bash
# Run lint, format check, type check and tests. The limits of modules are among the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
ruff check .
ruff format --check .
mypy
python -m pytest
