#!/bin/sh
# Builds what the cases' scripts start, into target/review, after the build of
# the deploy file. All stand-ins are in standin.c and the cases' case.c.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.c
do
	test -f "$source" || continue
	n=$(basename "$(dirname "$source")")
	cc -D_GNU_SOURCE -std=gnu11 -O2 -g -Wall -Wextra \
		-o "target/review/case-$n" "$source" review/standin.c \
		-levent -ljansson
done
