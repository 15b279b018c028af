#!/usr/bin/env bash
# Formatter, linter, doctests and tests; arguments go to pytest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
.venv/bin/ruff format --check .
.venv/bin/ruff check .
.venv/bin/python scripts/module_table.py --check
.venv/bin/python -m pytest "$@"
