#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need nothing but Go's standard library.
set -euo pipefail
cd "$(dirname "$0")/stand2"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review2 .
