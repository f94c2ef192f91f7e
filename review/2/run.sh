#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 case.py
