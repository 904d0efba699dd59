#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o bin/ .
