#!/usr/bin/env bash
# Plays this case; see claim.txt.
exec "$(dirname "$0")/../run-case.sh" large-jobs-wait "$(dirname "$0")"
