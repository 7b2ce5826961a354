#!/usr/bin/env bash
# The stand-ins of the cases are plain Node.js modules without dependencies, so there is nothing to compile. This only
# checks that they can be parsed and that the program of the deploy file has been built.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/stand-ins/*.mjs review/*/case.mjs; do
    node --check "$file"
done
test -f target/marigoldstall-entry.cjs
