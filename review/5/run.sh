#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build.sh.
set -u
cd "$(dirname "$0")/../.."
exec target/review/harness shared-name target/heatherwood review/5/record.txt
