#!/usr/bin/env bash
# The stand-ins of the second review are plain modules of Node.js and need no build; this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
    if [ -f "$module" ]; then
        node --check "$module"
    fi
done
