#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
