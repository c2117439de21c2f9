#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
(cd review/.kit-2 && GOFLAGS= go build -o ../../target/review-2/rig .)
