# Targets: all, tests, unit-tests, deps, check, demo, bench, soak, soak-jobs,
# explore, capacity, format, lint, install, clean.
CC ?= cc
PREFIX ?= /usr/local
DESTDIR ?=
BUILD ?= build
SANITIZE ?=
WARNINGS = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wwrite-strings -Wformat=2
CPPFLAGS += -D_GNU_SOURCE -Isrc -Iplatform -Itests
CFLAGS += -std=gnu11 -O2 -g -fno-omit-frame-pointer -pthread $(WARNINGS)
LDLIBS = -levent -lcivetweb -lzmq -lmsgpackc -ljansson -linih -lcsv -largtable2 \
	-lurcu -lxxhash -lb64 -lz -lm -ldl -lpthread
ifneq ($(SANITIZE),)
CFLAGS += -fsanitize=$(SANITIZE) -fno-sanitize-recover=all
LDFLAGS += -fsanitize=$(SANITIZE)
endif

# Sources with main(). All others go into libwaxwing.a, except src/cmd-*.c,
# which are linked into waxwingctl only.
MAINS = src/waxwingd.c src/waxwingctl.c
LIB_SRC = $(filter-out $(MAINS) $(wildcard src/cmd-*.c),\
	$(wildcard src/*.c platform/*.c))
CTL_SRC = src/waxwingctl.c $(wildcard src/cmd-*.c)
# Programs used by the tests, benchmarks, demo and soak tests; code they share.
TOOL_SRC = $(wildcard tests/fake-*.c tests/fault-*.c tests/load-*.c \
	tests/bench-*.c tests/journal-*.c tests/demo*.c tests/soak*.c)
SUPPORT_SRC = $(wildcard tests/support-*.c)
TEST_SRC = $(filter-out tests/test-explore%.c,$(wildcard tests/test-*.c))
# Owners of jobs in simulated time. These define clocks and timers themselves.
EXPLORE_MAINS = tests/explore-jobs.c $(wildcard tests/test-explore*.c)
EXPLORE_SRC = $(filter-out $(EXPLORE_MAINS),$(wildcard tests/explore-*.c))
# Integration tests, which start processes; test-*.c are unit tests.
ITEST_SRC = $(wildcard tests/itest-*.c)

obj = $(patsubst %.c,$(BUILD)/%.o,$(1))
bin = $(patsubst tests/%.c,$(BUILD)/%,$(1))
LIB = $(BUILD)/libwaxwing.a
SUPPORT = $(BUILD)/libsupport.a
PROGRAMS = $(patsubst src/%.c,$(BUILD)/%,$(wildcard $(MAINS)))
TOOLS = $(call bin,$(TOOL_SRC))
TESTS = $(call bin,$(TEST_SRC))
ITESTS = $(call bin,$(ITEST_SRC))
EXPLORERS = $(call bin,$(EXPLORE_MAINS))
ALL_SRC = $(wildcard src/*.[ch] platform/*.[ch] tests/*.[ch])

all: $(PROGRAMS) $(TOOLS)

tests: $(TESTS) $(ITESTS) $(EXPLORERS)

unit-tests: $(TESTS) $(EXPLORERS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(call obj,$(LIB_SRC))
	rm -f $@ && $(AR) rcs $@ $^

$(SUPPORT): $(call obj,$(SUPPORT_SRC))
	rm -f $@ && $(AR) rcs $@ $^

$(BUILD)/waxwingd: $(call obj,src/waxwingd.c) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/waxwingctl: $(call obj,$(CTL_SRC)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(TOOLS): $(BUILD)/%: $(BUILD)/tests/%.o $(SUPPORT) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(TESTS) $(ITESTS): $(BUILD)/%: $(BUILD)/tests/%.o $(SUPPORT) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ -lcunit $(LDLIBS)

# The test sets how long the jobs of a queue wait.
$(BUILD)/test-job-refuse: LDFLAGS += -Wl,--wrap=sched_expected_wait_ms

$(EXPLORERS): $(BUILD)/%: $(BUILD)/tests/%.o $(call obj,$(EXPLORE_SRC)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ -lcunit $(LDLIBS)

deps:
	scripts/install-deps

check: deps
	$(MAKE) all tests
	scripts/run-tests $(BUILD)

demo: deps
	$(MAKE) all
	scripts/demo $(BUILD)

bench: deps
	$(MAKE) all
	scripts/bench $(BUILD) "$(SCENARIO)"

# Randomized fault test on real processes: make soak SEED=N DURATION=SECONDS
SEED ?= 1
DURATION ?= 30
soak: deps
	$(MAKE) all
	$(BUILD)/soak $(SEED) $(DURATION)

# Randomized fault test of jobs, real processes on a simulated platform:
# make soak-jobs DURATION=SECONDS SEEDS="N..."
SEEDS ?= $(SEED)
soak-jobs: deps
	$(MAKE) all
	scripts/soak-jobs $(BUILD) $(DURATION) $(SEEDS)

# Tries orders of events in simulated time: make explore BUDGET=SECONDS SEED=N
BUDGET ?= 60
explore: $(BUILD)/explore-jobs
	$(BUILD)/explore-jobs -b $(BUDGET) -s $(SEED)

# Repeats the measurements for docs/CAPACITY.md and plots the results.
capacity: deps
	$(MAKE) all
	scripts/capacity $(BUILD)

format:
	clang-format -i $(ALL_SRC)

lint:
	clang-format --dry-run -Werror $(ALL_SRC)
	cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr \
		--enable=warning,performance,portability \
		--suppress=missingIncludeSystem --suppress=unknownMacro \
		-j 8 -D_GNU_SOURCE -Isrc -Iplatform -Itests src platform tests
	scripts/check-docs
	if ls man/*.[0-9] >/dev/null 2>&1; then \
		mandoc -Tlint -Wwarning man/*.[0-9]; fi

install: all
	install -d $(DESTDIR)$(PREFIX)/sbin $(DESTDIR)$(PREFIX)/bin
	install -m 755 $(BUILD)/waxwingd $(DESTDIR)$(PREFIX)/sbin/
	install -m 755 $(BUILD)/waxwingctl $(DESTDIR)$(PREFIX)/bin/
	install -d $(DESTDIR)$(PREFIX)/share/bash-completion/completions
	install -m 644 contrib/waxwingctl.bash-completion \
		$(DESTDIR)$(PREFIX)/share/bash-completion/completions/waxwingctl
	for page in man/*.[0-9]; do \
		dir=$(DESTDIR)$(PREFIX)/share/man/man$${page##*.}; \
		install -d $$dir && install -m 644 $$page $$dir/; done

clean:
	rm -rf $(BUILD)

.PHONY: all tests unit-tests deps check demo bench soak soak-jobs explore capacity \
	format lint install clean
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
