#!/usr/bin/env bash
# Builds dist/siskintally: a zipapp, one executable file with all dependencies, which runs in one
# process.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
mkdir -p dist build
.venv/bin/python -m shiv --quiet --compile-pyc --compressed -e siskintally.main:run -o dist/siskintally \
  --constraint requirements.lock .
echo "dist/siskintally: $(stat -c %s dist/siskintally) bytes"
