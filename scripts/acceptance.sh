#!/usr/bin/env bash
# Runs the first requests of the README against a new sample cell and checks each response.
# Usage: scripts/acceptance.sh   (runs the package in this checkout)
#        SISKINTALLY=dist/siskintally scripts/acceptance.sh   (runs the built executable)
# The cell must be new: run/fjeldrute must not exist. The cell is stopped at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -e run/fjeldrute ]; then
  echo "run/fjeldrute exists: stop that cell and move its folder away first" >&2
  exit 2
fi
export SISKINTALLY_TOKEN=sample-token-astrid
# Stops all processes in a planned way at exit, also after a failed check.
trap 'scripts/cell.sh stop' EXIT
scripts/cell.sh start
read -ra program <<<"${SISKINTALLY:-.venv/bin/python -m siskintally}"

fail() {
  echo "acceptance: $1" >&2
  exit 1
}

# Repeats a command each second until it succeeds and its output matches a pattern; at most 120
# times.
expect() { # pattern, command...
  local pattern=$1 output
  shift
  for _ in $(seq 120); do
    if output=$("$@" 2>&1) && grep -qiE "$pattern" <<<"$output"; then
      printf '%s\n' "$output"
      return
    fi
    sleep 1
  done
  printf '%s\n' "$output" >&2
  fail "no '$pattern' from: $*"
}

call() { # port, path, curl arguments...
  local port=$1 path=$2
  shift 2
  curl -sS -i "http://127.0.0.1:$port/call/seat-count/$path" "$@"
}

samples=samples/fjeldrute
expect '"?version"?.*1' "${program[@]}" config set "$samples-config.toml" --expect-version 0 \
  --request-id acceptance-config
expect 'siskintally-code: 1000' call 7101 boarding -H 'Siskintally-Class: urgent' \
  -d '{"member": "m-17", "bus": "hemsedal-4"}'
booking=(-H 'Idempotency-Key: jylland/booking-1' -H 'Siskintally-Caller: member-app' -d '{"seat": 12}')
expect 'siskintally-code: 1000' call 7101 bookings "${booking[@]}"
expect 'siskintally-code: 1001' call 7103 bookings "${booking[@]}"
runs=$(cat run/fjeldrute/*-endpoint.record | grep '"start"' | grep -c 'jylland/booking-1')
[ "$runs" -eq 1 ] || fail "the booking ran $runs times, expected once"
for job in seat-count seat-reconciliation snow-replan; do
  "${program[@]}" submit "$samples-$job.toml" || fail "$job was not accepted"
done
all_placed() { # prints how many jobs have no waiting task; succeeds if all 3 have none
  "${program[@]}" jobs --json | .venv/bin/python -c '
from json import loads
from sys import exit, stdin
jobs = loads(stdin.read())["answer"]["jobs"]
placed = sum(not job["waiting"] and job["running"] + job["succeeded"] > 0 for job in jobs)
print(f"{placed} of 3 jobs placed")
exit(placed != 3)'
}
expect '3 of 3 jobs placed' all_placed
"${program[@]}" jobs
"${program[@]}" status
"${program[@]}" preset peak --expect-version 1 || fail "preset"
expect 'peak' "${program[@]}" status
"${program[@]}" audit --verify || fail "audit"
for pid in run/fjeldrute/*.pid; do
  children=$(ps -o pid= --ppid "$(cat "$pid")" | wc -l || true)
  [ "$children" -eq 0 ] || fail "$(basename "$pid" .pid) has $children child processes"
done
echo "acceptance: passed"
