#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. It runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/standin ./review/_standin2
