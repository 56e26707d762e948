#!/usr/bin/env bash
# Checks that the platform's names stay in platform/: no field, path or key of
# its protocol stands in other sources, and none includes a header of it.
set -uo pipefail
cd "$(dirname "$0")/.."
names='X-Mangodeck-(Attempt-Id|Request-Deadline|Token-Count|Prefix-Hash|Length-Hint|Tenant-Id|Expect-Instance|Expect-Version|Not-Executed|Response-Stamp|Server-Load|Hold|Pin-Duration|Kv-Backup)'
names+='|/kv-(key|range|watch|txn|lease|keep)|"(AsOf|Precondition|AfterRevision|TtlMs|NodeName|MachineClass|TargetLatencyMs|AuthExempt|TrafficSplit|ApiKeys)"'
names+='|"op/config"|"servers/|MANGODECK_CONFIG'
headers='include "(directory|headers|settingsfile|storeclient)\.h"'
files=$(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v -e '^platform/' -e '^testing/soak/' -e '^testing/crowd/' -e '^fuzz/platformkeys.cpp')
if found=$(grep -nE "$names|$headers" $files); then
  echo "names of the platform outside platform/:"
  echo "$found"
  exit 1
fi
