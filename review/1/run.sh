#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt. With TROUBLE=0 the same without the disruption.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=..
exec timeout -k 5 115 python3 case.py
