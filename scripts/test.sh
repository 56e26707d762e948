#!/usr/bin/env bash
# Runs every test program of a build folder and adds up their counts.
# Tests listed in KNOWN-RED.txt are printed and not counted as failed.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
export MANGODECK_BUILD="$PWD/$build" MANGODECK_SOURCE="$PWD"
passed=0 failed=0
for program in "$build"/test/*_test; do
  [ -x "$program" ] || continue
  out=$(timeout 1800 "$program" --known-red KNOWN-RED.txt 2>&1)
  code=$?
  line=$(printf '%s\n' "$out" | grep -E '^[0-9]+ passed, [0-9]+ failed' | tail -n 1)
  if [ -z "$line" ] || { [ $code -ne 0 ] && [[ "$line" == *", 0 failed" ]]; }; then
    printf '%s\n' "$out" | tail -n 60
    echo "$(basename "$program"): ended with code $code without a verdict"
    failed=$((failed + 1))
    continue
  fi
  p=${line%% passed*}; f=${line#*, }; f=${f%% failed*}
  passed=$((passed + p)); failed=$((failed + f))
  echo "$(basename "$program"): $line"
  printf '%s\n' "$out" | grep -E '^known red: ' || true
  [ "$f" -eq 0 ] || printf '%s\n' "$out" | grep -B 8 '^FAIL ' | tail -n 200
done
# The fault soak with fixed seeds; more are run by hand.
play_soak() { # SEEDS OPTION...
  local seeds=$1 out line
  shift
  out=$(timeout 200 "$build"/bin/mangodeck-soak --front "$build"/bin/mangodeck-front \
    --folder "$build"/soak --seeds "$seeds" --seconds 14 "$@" 2>&1)
  line=$(printf '%s\n' "$out" | grep -E '^[0-9]+ passed, [0-9]+ failed' | tail -n 1)
  if [ "$line" = "$seeds passed, 0 failed" ]; then
    passed=$((passed + seeds))
  else
    failed=$((failed + 1))
    printf '%s\n' "$out" | tail -n 40
  fi
  echo "soak $*: ${line:-no verdict}"
}
play_soak 3 --seed 1
# Regression: a pause told before a target registers its new start was forgotten.
play_soak 1 --seed 3058
# Regression: SIGHUP ended a daemon that was starting.
play_soak 1 --seed 6101 --callers 48
# Answers that break a rule of HTTP, and late copies that are broken off.
play_soak 1 --seed 2 --odd-answers 5
# Changes of the configuration while the store does not serve some daemons.
play_soak 1 --seed 1 --changes --daemons 9
play_soak 1 --seed 1 --changes --few-served --daemons 12 --subnet 2
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
