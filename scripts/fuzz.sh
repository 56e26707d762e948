#!/usr/bin/env bash
# Runs each fuzz target of a build folder with its corpus and a fixed number of
# runs; the seed is fixed, so that a run can be repeated.
#   cmake -S . -B build-fuzz -G Ninja -DMANGODECK_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
runs=${2:-20000}
for program in "$build"/fuzz/fuzz-*; do
  [ -x "$program" ] || continue
  name=$(basename "$program")
  work=$(mktemp -d)
  cp "fuzz/corpus/${name#fuzz-}"/* "$work"
  if ! "$program" -runs="$runs" -seed=1 -max_len=4096 -timeout=10 -rss_limit_mb=1024 \
      -artifact_prefix="$work/" "$work" >"$work.log" 2>&1; then
    tail -n 40 "$work.log"
    echo "$name: failed; the input is in $work"
    exit 1
  fi
  echo "$name: $runs runs, no fault"
  rm -rf "$work" "$work.log"
done
