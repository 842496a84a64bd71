#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 11 to 15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/harness3
