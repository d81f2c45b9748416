#!/bin/sh
# The stand-ins need no build. Builds the project's program if that has not been done.
cd "$(dirname "$0")/.." || exit 2
[ -f target/spindlepaddle.mjs ] || npm run --silent bundle
