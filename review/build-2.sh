#!/usr/bin/env bash
# Builds the programs of the cases of the second review, after the build of the deploy file. They need nothing but
# the standard library and the folder review/rig.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
for case in 6 7 8 9 10; do
  [ -f "review/$case/main.go" ] || continue
  go build -buildvcs=false -o "bin/review-2/$case" "./review/$case"
done
