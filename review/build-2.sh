#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/standin2"
go build -o ../../target/review-standin2 .
