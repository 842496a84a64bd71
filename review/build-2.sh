#!/bin/sh
# Builds the stand-ins of cases 6 to 10.
cd "$(dirname "$0")/.." || exit 1
exec go build -o review/site/site ./review/site
