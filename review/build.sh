#!/usr/bin/env bash
# Builds the stand-ins of the scripts. It needs Go and nothing from a network. The sources end in .txt, so
# that the project's tests don't take them for a package of its own.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
for file in "$here"/standin/*.txt; do
  cp "$file" "$work/$(basename "$file" .txt)"
done
mkdir -p "$here/bin"
cd "$work"
GOPROXY=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o "$here/bin/standin" .
