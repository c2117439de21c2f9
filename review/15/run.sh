#!/usr/bin/env bash
# The store turns a reader and another gateway away for some seconds, while the manifest changes. TROUBLE=0 leaves the
# outages out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-kit-3 ] && [ -x target/balsamlock-gateway ] || { echo "build first: the deploy file, review/build-3.sh"; exit 2; }
exec target/review-kit-3 old-report review/15/record.txt
