#!/usr/bin/env bash
# Installs the Debian packages the project declares, if any is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=$(comm -23 <(sort -u packages.txt) <(dpkg-query -W -f '${db:Status-Abbrev} ${Package}\n' | sed -n 's/^ii *//p' | sort -u))
[ -z "$missing" ] && exit 0
echo "setup: installing" $missing
export DEBIAN_FRONTEND=noninteractive
as_root=""
[ "$(id -u)" = 0 ] || as_root=sudo
$as_root apt-get update -q >/dev/null
# shellcheck disable=SC2086
$as_root apt-get install -y -q $missing >/dev/null
