#!/usr/bin/env bash
# The stand-ins that the cases start are plain modules of Node.js; this checks that all of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for module in common/*.mjs */case.mjs; do
    node --check "$module"
done
