#!/usr/bin/env bash
# Builds the stand-ins of the cases into build-review/. The product is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for source in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -Ireview -o "build-review/case$number" "$source"
done
