#!/bin/sh
# Builds the stand-ins that the scripts of this review start, target/review-2/standin and target/review-2/again. It needs no
# network. The sources of the first are the files build-2-*.txt beside it; the second is the first review's stand-in with
# build-2b-recover.go.txt in place of its file of that name. They are built elsewhere, so that the project's tests don't take them
# for a package of its own.
set -eu
cd "$(dirname "$0")/.."
root=$PWD
mkdir -p target/review-2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# build NAME PREFIX builds the sources review/PREFIX*.txt, and those that are in the folder of that name already.
build() {
	mkdir -p "$work/$1"
	for file in review/"$2"*.txt; do
		name=$(basename "$file" .txt)
		[ -e "$work/$1/${name#"$2"}" ] || cp "$file" "$work/$1/${name#"$2"}"
	done
	(cd "$work/$1" && GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -o "$root/target/review-2/$1.new" .)
	mv "target/review-2/$1.new" "target/review-2/$1"
}

build standin build-2-
mkdir "$work/again"
cp review/build-2b-recover.go.txt "$work/again/recover.go"
build again standin-
