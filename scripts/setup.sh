#!/usr/bin/env bash
# Creates .venv with the pinned dependencies; does nothing if requirements.lock has not changed.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=.venv/lock.sum
if [ ! -x .venv/bin/python ] || [ "$(cat "$stamp" 2>/dev/null)" != "$(sha256sum <requirements.lock)" ]; then
  python3 -m venv .venv
  .venv/bin/python -m pip install --quiet --requirement requirements.lock
  sha256sum <requirements.lock >"$stamp"
fi
