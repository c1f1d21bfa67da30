#!/usr/bin/env bash
# Builds the stand-ins of the scripts. It needs Go and nothing from a network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/standin .
