#!/usr/bin/env bash
# Builds what the cases need beyond the build line of deploy/system.toml: nothing but the
# bytecode of the stand-ins, which use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
