#!/usr/bin/env bash
# Regenerates siskintally/wire_pb2.py and siskintally/wire_grpc.py from wire.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
PATH="$PWD/.venv/bin:$PATH"
python -m grpc_tools.protoc -I. --python_out=. --grpclib_python_out=. siskintally/wire.proto
