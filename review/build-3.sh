#!/bin/bash
# Builds the stand-ins of review 3 (review/_standin3), which its scripts start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin3 ./review/_standin3
