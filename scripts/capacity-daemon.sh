#!/usr/bin/env bash
# Measures one daemon as entry and group owner before two stand-in targets, all
# on loopback at free ports: processor time and memory at
# rest, for each request and for each token. Prints "MEASURE VALUE UNIT" lines.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1/bin
short_requests=2000
long_requests=400
long_tokens=200
parallel=32
rest_seconds=15
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$work"
}
trap finish EXIT

launch() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" </dev/null &
  pids+=($!)
  for _ in $(seq 200); do
    grep -q '^listening=' "$work/$name.out" && return 0
    sleep 0.05
  done
  echo "capacity-daemon: $name does not listen" >&2
  cat "$work/$name.log" >&2
  exit 1
}

# Step 1. Two targets, the records that name them, and the daemon.
mkdir "$work/records"
key=capacity-key
cat >"$work/records/site.yaml" <<YAML
kind: tier
schema: 1
name: only
rank: 0
---
kind: service
schema: 1
name: assistant
type: model
model: assistant
queue-limit: 10000
---
kind: customer
schema: 1
name: load
key-hashes: [$(printf %s "$key" | sha256sum | cut -d' ' -f1)]
highest-tier: only
YAML
for n in 1 2; do
  launch "target-$n" "$bin/standin-target" --address 127.0.0.1:0 --kind model --name "target-$n" --token-delay 1
  cat >>"$work/records/site.yaml" <<YAML
---
kind: target
schema: 1
name: target-$n
service: assistant
failure-domain: domain-a
address: $(sed -n 's/^listening=//p' "$work/target-$n.out")
max-sequences: 64
YAML
done
free_port() {
  local port
  while port=$((20000 + RANDOM % 12000)); (: <"/dev/tcp/127.0.0.1/$port") 2>/dev/null; do :; done
  echo "$port"
}

cat >"$work/settings.yaml" <<YAML
vm: vm-1
failure_domain: domain-a
region: region-a
listen:
  callers: 127.0.0.1:$(free_port)
  admin: 127.0.0.1:$(free_port)
  peers: 127.0.0.1:$(free_port)
peer_keys: [a-key-for-measuring]
YAML
launch daemon "$bin/mangodeckd" --settings "$work/settings.yaml" --records "$work/records"
for _ in $(seq 200); do
  grep -q "^admin=" "$work/daemon.out" && break
  sleep 0.05
done
callers=$(sed -n "s/^listening=//p" "$work/daemon.out")
admin=$(sed -n "s/^admin=//p" "$work/daemon.out")
for _ in $(seq 200); do
  curl -sf -o /dev/null "http://$admin/readyz" && break
  sleep 0.05
done
curl -sSf -o /dev/null "http://$admin/readyz" || {
  echo "capacity-daemon: the daemon does not get ready" >&2
  exit 1
}

metric() { curl -sf "http://$admin/metrics" | awk -v name="$1" '$1 == name { print $2 }'; }
completed() { curl -sf "http://$admin/metrics" | awk '/^mangodeck_goodput_requests_total/ { sum += $2 } END { print sum + 0 }'; }

# Sends REQUESTS streamed completions of TOKENS tokens, each with its own
# prompt; fails unless every one was answered whole.
send() { # REQUESTS TOKENS
  local before n
  before=$(completed)
  for n in $(seq "$1"); do
    [ "$n" = 1 ] || echo next
    cat <<CONFIG
url = "http://$callers/v1/completions"
header = "Authorization: Bearer $key"
header = "Content-Type: application/json"
data = "{\"model\":\"assistant\",\"prompt\":\"request $2 $n\",\"stream\":true,\"max_tokens\":$2}"
output = "/dev/null"
silent
CONFIG
  done >"$work/curl.conf"
  curl -s --parallel --parallel-immediate --parallel-max "$parallel" -K "$work/curl.conf" 2>"$work/curl.log"
  for _ in $(seq 100); do
    [ "$(($(completed) - before))" = "$1" ] && return 0
    sleep 0.05
  done
  echo "capacity-daemon: $(($(completed) - before)) of $1 requests were answered whole" >&2
  exit 1
}

# Step 2. At rest, then short answers, then long ones.
send 100 1
rest_from=$(metric mangodeck_process_cpu_seconds)
resident_rest=$(metric mangodeck_process_resident_bytes)
sleep "$rest_seconds"
rest_to=$(metric mangodeck_process_cpu_seconds)
send "$short_requests" 1
short_to=$(metric mangodeck_process_cpu_seconds)
send "$long_requests" "$long_tokens"
long_to=$(metric mangodeck_process_cpu_seconds)
resident_load=$(metric mangodeck_process_resident_bytes)

# Step 3. The slopes.
awk -v r0="$rest_from" -v r1="$rest_to" -v s="$short_to" -v l="$long_to" \
  -v seconds="$rest_seconds" -v n="$short_requests" -v m="$long_requests" -v k="$long_tokens" \
  -v rest="$resident_rest" -v load="$resident_load" 'BEGIN {
    short = (s - r1) / n
    printf "processor_at_rest %.3f %%_of_a_core\n", 100 * (r1 - r0) / seconds
    printf "processor_for_a_request_of_1_token %.0f us\n", short * 1e6
    printf "processor_for_each_further_token %.1f us\n", ((l - s) / m - short) / (k - 1) * 1e6
    printf "resident_after_100_requests %.1f MB\n", rest / 1e6
    printf "resident_after_all %.1f MB\n", load / 1e6
  }'
