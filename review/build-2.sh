#!/bin/sh
# Builds the stand-ins that the scripts of this review start: target/review-2/standin. It needs no network. The sources are
# the files build-2-*.txt beside it; they are built elsewhere, so that the project's tests don't take them for a package of its own.
set -eu
cd "$(dirname "$0")/.."
root=$PWD
mkdir -p target/review-2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for file in review/build-2-*.txt; do
	name=$(basename "$file" .txt)
	cp "$file" "$work/${name#build-2-}"
done
cd "$work"
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -o "$root/target/review-2/standin.new" .
mv "$root/target/review-2/standin.new" "$root/target/review-2/standin"
