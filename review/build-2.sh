#!/bin/sh
# Builds the stand-ins that the scripts of this review start. It needs no network.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out/src"
rm -f "$out"/src/*
for file in review/standin-2-*.go.txt; do
	name=${file#review/standin-2-}
	cp "$file" "$out/src/${name%.txt}"
done
cp review/standin-2-go.mod.txt "$out/src/go.mod"
cd "$out/src"
GOFLAGS= GOWORK=off go build -o ../standin .
