#!/bin/bash
# Needs the build of the deploy file and review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/baobab-entry ] && [ -x ../../target/review-standin3 ] || exit 2
exec timeout --preserve-status -k 1 115 ../../target/review-standin3 denied-lookups
