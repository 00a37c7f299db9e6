#!/usr/bin/env bash
# Runs a scripted case of the second review: run-case-2.sh CASE FOLDER. The folder gets
# record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
for program in target/chestnutpond target/standins2; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
  fi
done
exec target/standins2 "$1" "$folder"
