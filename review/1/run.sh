#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
classes="$folder/../target"
if [ ! -f "$classes/Cases.class" ] || [ ! -f "$folder/../../target/deploy/lib/knapweedhatchd.jar" ]; then
  echo "could not run: build deploy/system.toml and run review/build.sh first"
  exit 2
fi
cd "$folder/../.." || exit 2
exec java -Xmx400m -cp "$classes" Cases extra-bytes "$PWD" "$folder"
