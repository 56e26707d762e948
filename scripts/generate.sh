#!/usr/bin/env bash
# Regenerates the committed protobuf sources.
set -euo pipefail
cd "$(dirname "$0")/.."
for package in packages/*/; do
  [ -d "$package/proto" ] || continue
  mkdir -p "$package/src/generated"
  protoc -I "$package/proto" --cpp_out=lite:"$package/src/generated" "$package"/proto/*.proto
done
