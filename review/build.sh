#!/usr/bin/env bash
# Builds the stand-in that the scripts start. It needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= go build -o ../bin/standin .
