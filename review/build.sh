#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js and need no build; this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand-ins/*.mjs [1-9]/*.mjs; do
    node --check "$module"
done
