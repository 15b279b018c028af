#!/usr/bin/env bash
# Starts, stops or lists the processes of a sample cell on loopback addresses: stores, entries, stub
# endpoints and stub workers.
# Usage: scripts/cell.sh start|stop|status [SETTINGS]   (default samples/fjeldrute.toml)
# Process ids, logs, records and data are kept in run/<cell>/. By default the package in this
# checkout runs; SISKINTALLY names another program, for example SISKINTALLY=dist/siskintally.
set -euo pipefail
cd "$(dirname "$0")/.."
action=${1:-start}
settings=${2:-samples/fjeldrute.toml}
python=.venv/bin/python
read -ra program <<<"${SISKINTALLY:-$python -m siskintally}"
endpoint_port=7401

rows() { # prints a line "role name domain address" per process, and "domain name urls" per domain
  "$python" - "$settings" <<'PY'
from sys import argv
from siskintally.settings import load
settings = load(argv[1])
print("cell", settings.cell, "-", "-")
for process in settings.process_by_name.values():
    print(process.role, process.name, process.domain, process.http or process.link)
for domain in sorted({process.domain for process in settings.process_by_name.values()}):
    urls = ",".join(f"http://{entry.http}" for entry in settings.entries(domain=domain))
    print("domain", domain, urls)
PY
}

spawn() { # name, command...
  local name=$1
  shift
  "${program[@]}" "$@" >"$run/$name.out" 2>"$run/$name.log" </dev/null &
  echo "$!" >"$run/$name.pid"
}

alive() { [ -s "$1" ] && kill -0 "$(cat "$1")" 2>/dev/null; }

start() {
  mkdir -p "$run"
  for pid in "$run"/*.pid; do
    if alive "$pid"; then echo "cell $cell runs already; scripts/cell.sh stop ends it" >&2; exit 1; fi
  done
  while read -r role name _ _; do
    [ "$role" = store ] && [ ! -e "$run/$name.founded" ] || continue
    "${program[@]}" init --settings "$settings" --name "$name" >>"$run/init.log" 2>&1
    touch "$run/$name.founded"
  done <<<"$table"
  while read -r role name _ _; do
    case $role in store | entry) spawn "$name" "$role" --settings "$settings" --name "$name" ;; esac
  done <<<"$table"
  while read -r role name urls; do
    [ "$role" = domain ] || continue
    spawn "$name-endpoint" stub-endpoint --name "$name-endpoint" --service "$service" \
      --domain "$name" --http "127.0.0.1:$endpoint_port" --entries "$urls" \
      --record "$run/$name-endpoint.record"
    endpoint_port=$((endpoint_port + 1))
    spawn "$name-workers" stub-worker --name "$name-worker" --rack "$name-rack" --domain "$name" \
      --settings "$settings" --count 8 --cpu_milli 32000 --memory_mb "$memory_mb" --accelerators 2 \
      --record "$run/$name-workers.record"
  done <<<"$table"
  echo "cell $cell: started, logs in $run/"
}

stop() {
  local pids=()
  for pid in "$run"/*.pid; do
    if alive "$pid"; then kill -TERM "$(cat "$pid")" && pids+=("$(cat "$pid")"); fi
  done
  for _ in $(seq 100); do
    local left=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && left=$((left + 1)); done
    [ "$left" -eq 0 ] && break
    sleep 0.2
  done
  echo "cell $cell: stopped, ${left:-0} processes left"
  rm -f "$run"/*.pid
}

status() {
  for pid in "$run"/*.pid; do
    if alive "$pid"; then state=running; else state=ended; fi
    echo "$(basename "$pid" .pid) $state"
  done
}

scripts/setup.sh
table=$(rows)
cell=$(awk '$1 == "cell" {print $2}' <<<"$table")
run=run/$cell
case $cell in camara*) service=restocking memory_mb=64000 ;; *) service=seat-count memory_mb=128000 ;; esac
case $action in
  start) start ;;
  stop) stop ;;
  status) status ;;
  *) echo "usage: scripts/cell.sh start|stop|status [SETTINGS]" >&2; exit 2 ;;
esac
