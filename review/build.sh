#!/usr/bin/env bash
# Builds the stand-ins of the scripts, the file standin beside this one. It needs Go and nothing from a
# network. The sources end in .txt, so that the project's tests don't take them for a package of its own.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
for file in "$here"/standin-*.txt; do
  name="$(basename "$file" .txt)"
  cp "$file" "$work/${name#standin-}"
done
cd "$work"
GOPROXY=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o "$here/standin" .
