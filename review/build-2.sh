#!/bin/sh
# Builds the stand-ins of the cases 7 to 10. Needs what the build of the deploy
# file needs: a C compiler, libevent and jansson. Run from anywhere.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 7 8 9 10
do
	test -e "review/$n/case.c" || continue
	${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Ireview \
		-o "target/review-2/case-$n" "review/$n/case.c" \
		review/standin-2.c -levent -ljansson
done
