#!/bin/sh
# Plays this case once. TROUBLE=0 plays it without the disruption. Exit: 0 held, 1 broken, 2 could not run.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$dir/../.." || exit 2
exec "review/bin/case$(basename "$dir")" "$dir"
