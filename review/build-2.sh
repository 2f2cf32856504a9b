#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The programs under test are built by the build
# line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/standin2
