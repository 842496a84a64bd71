#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] || { echo "run review/build-3.sh first"; exit 2; }
exec target/review-3 homes review/15
