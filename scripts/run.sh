#!/usr/bin/env bash
# Starts two daemons with stand-ins for targets and the store on loopback, sends
# one streamed completion and one permit payment, and leaves all running.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
state=run
example=examples/san-alonso
scripts/stop.sh
mkdir -p "$state"

launch() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$state/$name.out" 2>"$state/$name.log" </dev/null &
  echo $! >>"$state/pids"
}

# Waits at most 20 s until a URL answers with success.
wait_for() {
  for _ in $(seq 200); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "run: no answer from $1; the logs are in $state/" >&2
  exit 1
}

launch store "$build/bin/standin-store" --address 127.0.0.1:7879
for port in 7901 7902 7903 7904 7905 7906; do
  launch "target-$port" "$build/bin/standin-target" --address "127.0.0.1:$port" --kind model --name "target-$port" --token-delay 20
done
for port in 7951 7952 7953; do
  launch "target-$port" "$build/bin/standin-target" --address "127.0.0.1:$port" --kind plain --name "target-$port"
done
"$build/bin/mangodeck" apply "$example/records" --store http://127.0.0.1:7879 --author example --message "first records"
for n in 1 2; do
  launch "daemon-$n" "$build/bin/mangodeckd" --settings "$example/settings-$n.yaml"
done
wait_for http://127.0.0.1:7811/readyz
wait_for http://127.0.0.1:7812/readyz

echo
echo "== a streamed completion, through daemon 1"
curl -sN -D - http://127.0.0.1:7801/v1/completions \
  -H "Authorization: Bearer marshals-key-1" -H "Content-Type: application/json" \
  -d '{"model":"festival-assistant","prompt":"Route from the gate to the river stalls","stream":true,"max_tokens":8}'
echo
echo "== a permit payment that must not run twice, through daemon 2"
curl -s -D - http://127.0.0.1:7802/services/ticketing/permits/17/payment \
  -H "Authorization: Bearer ticket-desk-key-1" -H "Content-Type: application/json" \
  -H "Idempotency-Key: permit-17-$(date +%s)" -d '{"permit":17,"amount":250}'
echo
echo
echo "Callers:   http://127.0.0.1:7801 and :7802"
echo "Operators: http://127.0.0.1:7811 and :7812 (/status /metrics /timeline)"
echo "Logs:      $state/*.log"
echo "Stop with: make stop"
