#!/usr/bin/env bash
# run-case.sh NAME FOLDER plays a case and writes FOLDER/record.txt. It exits with 1 if the
# rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 the
# disruption is left out.
set -u
name=$1
record=$(cd "$2" && pwd)/record.txt
cd "$(dirname "$0")/.."
if [ ! -x review/bin/standins ] || [ ! -x target/chestnutpond ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
rm -f "$record"
review/bin/standins -case "$name" -record "$record" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT
wait "$child"
code=$?
# Processes of the project that are still there because the stand-ins ended early.
for pid in $(sed -n 's/.*: started, pid \([0-9]*\)$/\1/p' "$record" 2>/dev/null); do
  if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$PWD/target/chestnutpond" ]; then
    kill -9 "$pid"
  fi
done
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
