#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS="${GOFLAGS:-} -mod=mod" GOWORK=off GOTOOLCHAIN=local go build -o bin/ ./cases/...
