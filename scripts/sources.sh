#!/usr/bin/env bash
# Lists the project's own C++ sources; generated code is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '/generated/' | while read -r f; do [ -f "$f" ] && echo "$f"; done
