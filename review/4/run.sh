#!/usr/bin/env bash
# Plays the case "canary". Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/baobab-entry ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
exec target/review/standin canary target/baobab-entry review/4/record.txt
