#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# case.py ends with 10 for a broken rule, as Python ends with 1 for its own failures.
cd "$(dirname "$0")" || exit 2
python3 case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
