#!/bin/sh
# Builds the stand-ins of the cases review/11 to review/15. It needs Go and nothing else; run it
# after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standins3"
go build -o ../../target/review3/standins3 .
