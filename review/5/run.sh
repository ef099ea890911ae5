#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Writes what
# was sent, answered and run to record.txt beside this file; TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
