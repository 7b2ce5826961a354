#!/bin/sh
# Builds the project's stand-ins that the scripts of the third review start.
cd "$(dirname "$0")/.." || exit 1
exec npx tsc -b stand-ins/platform
