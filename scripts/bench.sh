#!/usr/bin/env bash
# Measures the decisions and prints the signature of all traces, then compares a
# daemon on loopback with the same caller going straight to a stand-in target.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
"$build/bin/mangodeck" bench --traces traces
MANGODECK_BUILD="$build" "$build/bin/latencymeasure"
