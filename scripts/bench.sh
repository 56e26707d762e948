#!/usr/bin/env bash
# Measures the decisions and prints the signature of all traces.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
"$build/bin/mangodeck" bench --traces traces
