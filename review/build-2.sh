#!/bin/sh
# Compiles the stand-ins of cases 4 to 6; they need nothing but Python's standard library.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/standins2.py review/small2.py
