#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin/. It needs Go
# and no network.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOTOOLCHAIN=local GOPROXY=off go build -buildvcs=false -o ../bin/standins .
