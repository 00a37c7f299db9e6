#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standins2 ./review/standins2
