#!/usr/bin/env bash
# Builds what the scripts start besides the programs of the deploy file. The stand-ins are plain
# JavaScript for Node.js without dependencies, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/citronstage-serve.mjs
for file in review/common/*.mjs review/*/case.mjs; do node --check "$file"; done
