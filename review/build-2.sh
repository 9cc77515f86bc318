#!/usr/bin/env bash
# Builds the program of the second review's cases, with all its stand-ins, without dependencies and without a
# network.
set -euo pipefail
cd "$(dirname "$0")/second"
mkdir -p bin
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -buildvcs=false -o bin/second .
