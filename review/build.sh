#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o bin/ ./cases/...
