#!/usr/bin/env bash
# Plays this case; see claim.txt.
exec "$(dirname "$0")/../run-case.sh" cancel-in-doubt "$(dirname "$0")"
