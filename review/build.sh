#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/target; needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:all -Werror -d target standins/*.java
