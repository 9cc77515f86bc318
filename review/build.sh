#!/usr/bin/env bash
# Builds the stand-ins and the test programs of all cases, without dependencies and without a network.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o bin/ ./...
