#!/bin/sh
# Builds the stand-ins of all cases into review/bin. It needs no network after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
mkdir -p review/bin
for dir in review/[0-9]; do
    [ -f "$dir/main.go" ] || continue
    go build -buildvcs=false -o "review/bin/case$(basename "$dir")" "./$dir" || exit 1
done
