#!/bin/sh
# Builds the stand-ins of review 3. They are plain modules that need no compiler, so they are only
# checked; the serving program is that of the build of the deploy file.
set -e
cd "$(dirname "$0")"
test -f ../target/citronstage-serve.mjs
find . -maxdepth 2 -name '*.mjs' \( -name 'harness-3.mjs' -o -path './1[1-5]/*' \) | while read -r file; do
  node --check "$file"
done
