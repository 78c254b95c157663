#!/bin/sh
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$here/../standins" exec python3 -B "$here/case.py"
