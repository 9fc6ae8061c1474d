#!/bin/sh
# Builds the stand-ins of the third review into target/, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/waxwingd target/libwaxwing.a >/dev/null
cc -D_GNU_SOURCE -Isrc -Iplatform -Itests -Ireview -std=gnu11 -O2 -g -pthread \
	-Wall -Wextra -Werror -o target/review-3 \
	review/standin-3.c review/case-*.c \
	tests/support-jobs-store.c tests/support-jobs-txn.c \
	tests/support-jobs-worker.c tests/support-jobs-life.c \
	tests/support-jobs-orders.c target/libwaxwing.a \
	-levent -lcivetweb -lzmq -lmsgpackc -ljansson -linih -lcsv -largtable2 \
	-lurcu -lxxhash -lb64 -lz -lm -ldl -lpthread
