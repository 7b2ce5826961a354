#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain Node.js modules without dependencies, so there is nothing to compile. This
# checks that they can be parsed and that the program of the deploy file has been built.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/stand-ins-2/*.mjs review/{6,7,8,9,10}/case.mjs; do
    if test -f "$file"; then
        node --check "$file"
    fi
done
test -f target/marigoldstall-entry.cjs
