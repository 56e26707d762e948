#!/usr/bin/env bash
# Stops what `make run` started: SIGTERM to each process, then waits.
set -uo pipefail
cd "$(dirname "$0")/.."
[ -f run/pids ] || exit 0
tac run/pids | while read -r pid; do
  kill -TERM "$pid" 2>/dev/null
done
while read -r pid; do
  for _ in $(seq 150); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
  done
done <run/pids
rm -f run/pids
