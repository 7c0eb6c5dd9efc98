#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start besides the program of the deploy file. Their
# stand-ins are plain modules for Node.js in shared-2/ and need no compilation; this checks that they load.
set -e
cd "$(dirname "$0")"
for module in shared-2/*.mjs [6-9]/run.mjs 10/run.mjs; do
  [ ! -f "$module" ] || node --check "$module"
done
