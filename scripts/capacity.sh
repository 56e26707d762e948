#!/usr/bin/env bash
# Measures the slopes of the daemon mangodeckd and prints them as one table:
# role, size measured at, what, value, unit. Runs one program at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1/bin
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

measure() { # NAME COMMAND...
  local name=$1
  shift
  echo "capacity: $*" >&2
  "$@" >"$work/$name"
}

row() { printf '%-16s %-28s %-44s %12s %s\n' "$@"; }

# Prints key=value fields of one line as rows: ROLE SIZE LINE KEY UNIT [KEY UNIT]...
fields() {
  local role=$1 size=$2 line=$3
  shift 3
  while [ $# -gt 0 ]; do
    local value
    value=$(grep -oE "(^| )$1=[0-9.]+" <<<"$line" | cut -d= -f2)
    row "$role" "$size" "$1" "$value" "$2"
    shift 2
  done
}

measure membership "$bin/membershipmeasure" 0.01 8 50 100 200 360
measure digests "$bin/membershipmeasure" digests
measure peers "$bin/peermeasure"
measure timeline "$bin/timelinemeasure"
measure configuration "$bin/configurationmeasure"
measure bench "$bin/mangodeck" bench --traces traces
measure daemon scripts/capacity-daemon.sh "$1"

row role size measure value unit
while read -r members join peak packets bytes core heap revision leaving _ dead; do
  case $members in \#*) continue ;; esac
  size="$members members"
  row member "$size" "sent, steady" "$bytes" B/s
  row member "$size" "datagrams sent, steady" "$packets" 1/s
  row member "$size" "processor, steady" "$core" "% of a core"
  row member "$size" "heap" "$heap" B
  row member "$size" "revision known to all" "$revision" s
  row member "$size" "leaving known to all" "$leaving" s
  row member "$size" "killed member dead to all" "$dead" s
  row member "$size" "all start at once" "$join" s
  row member "$size" "busiest receiver meanwhile" "$peak" B/s
done <"$work/membership"
while read -r members groups audience bytes mean oldest; do
  case $members in \#*) continue ;; esac
  size="$members members, $groups groups"
  row owner "$size" "digests to $audience, sent" "$bytes" B/s
  row owner "$size" "digests to $audience, mean age" "$mean" s
  row owner "$size" "digests to $audience, oldest" "$oldest" s
done <"$work/digests"
while read -r line; do
  case $line in
  rest*)
    size="$(grep -oE 'peers=[0-9]+' <<<"$line") at rest"
    fields peer "$size" "$line" cpu_us_per_second_whole_process us/s \
      bytes_sent_per_second_per_peer B/s peak_memory_growth_kb kB
    ;;
  deflate*)
    size=$(cut -d' ' -f1-2 <<<"$line")
    fields peer "$size" "$line" cpu_us_per_message_both_ends us bytes_per_message B
    ;;
  esac
done <"$work/peers"
while read -r targets waiting decision eviction tick ticket target; do
  case $targets in [0-9]*) ;; *) continue ;; esac
  size="$targets targets, $waiting waiting"
  row owner "$size" "decision" "$decision" ns
  row owner "$size" "eviction" "$eviction" ns
  row owner "$size" "tick (each 100 ms)" "$tick" ns
  row owner "$size" "heap of a waiting ticket" "$ticket" B
  row owner "$size" "heap of a target" "$target" B
done <"$work/bench"
while read -r line; do
  size=$(grep -oE 'threads=[0-9]+' <<<"$line" || true)
  case $line in
  timeline*) fields entry "$size" "$line" ns_per_event_of_a_thread ns ;;
  *ns_per_request*) fields entry "metrics" "$line" ns_per_request ns ;;
  *read_us*) fields entry "metrics" "$line" read_us us bytes B ;;
  esac
done <"$work/timeline"
while read -r line; do
  size="$(grep -oE '^[0-9]+' <<<"$line") records"
  value() { sed -E "s/.*$1.*/\1/" <<<"$line"; }
  row follower "$size" "image of all records" "$(value 'image ([0-9]+) B')" B
  row follower "$size" "largest part of the image" "$(value 'largest ([0-9]+)')" B
  row follower "$size" "revision of one record" "$(value 'revision ([0-9]+) B')" B
  row follower "$size" "taking over a revision" "$(value 'over in ([0-9.]+) ms')" ms
  row follower "$size" "heap, the measuring copy included" "$(value 'copy ([0-9]+) KB')" kB
done <"$work/configuration"
while read -r name value unit; do
  row entry "one daemon, two targets" "${name//_/ }" "$value" "${unit//_/ }"
done <"$work/daemon"
grep '^bench signature' "$work/bench"
