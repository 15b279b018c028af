#!/usr/bin/env bash
# Checks formatting, lint rules and the module table, then runs doctests and tests. Arguments are
# passed to pytest (-n 0 runs one test at a time).
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
.venv/bin/ruff format --check .
.venv/bin/ruff check .
.venv/bin/python scripts/module_table.py --check
# Most process tests wait for elections and leases: four at a time leave most of ten cores idle.
.venv/bin/python -m pytest --numprocesses 4 --dist worksteal "$@"
