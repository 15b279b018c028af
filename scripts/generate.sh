#!/usr/bin/env bash
# Generates the *_pb2.py files and wire_grpc.py from the *.proto files.
set -euo pipefail
cd "$(dirname "$0")/.."
PATH="$PWD/.venv/bin:$PATH"
python -m grpc_tools.protoc -I. --python_out=. siskintally/*.proto
python -m grpc_tools.protoc -I. --grpclib_python_out=. siskintally/wire.proto
