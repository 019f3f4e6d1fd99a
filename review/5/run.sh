#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
cd "$(dirname "$0")/../.." && exec node review/5/case.mjs
