#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the daemon. Their stand-ins are programs that Node.js runs as they
# are, so that there is nothing to compile; this checks that all of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for program in common-2/*.mjs {6,7,8,9,10}/case.mjs; do
    if [ -e "$program" ]; then
        node --check "$program"
    fi
done
