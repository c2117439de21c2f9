#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases, after the build of deploy/system.toml. Their folder is hidden so that
# neither the go command's patterns nor the tests that walk the tree cover it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-kit review/.kit/*.go
