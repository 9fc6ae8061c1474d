#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rng.h"
#include "settings-reload.h"
#include "settings.h"
#include "support-unit.h"

#define SEED 20261204u
#define RANDOM_FILES 2000
/* A key pair made by zmq_curve_keypair() for tests only. */
#define PUBLIC "yLXpSRIk!E@%leVt^Ypc4$$xFcNC!tAd.8iGfwSY"
#define SECRET "qp.SE{=}v/z.)/[L(nvY!XF2x%h-B25rKoxyc*&>"

static const char good[] = "[node]\n"
			   "id = e1\n"
			   "availability_zone = cagla\n"
			   "deployment = test\n"
			   "[front]\n"
			   "listen = 127.0.0.1:8000\n"
			   "threads = 64\n"
			   "queue_limit = 48\n"
			   "[operator]\n"
			   "listen = 127.0.0.1:8001\n"
			   "token = 0123456789abcdef\n"
			   "[peers]\n"
			   "listen = 127.0.0.1:8002\n"
			   "curve_public = " PUBLIC "\n"
			   "curve_secret = " SECRET "\n"
			   "[platform]\n"
			   "address = 127.0.0.1:8500\n"
			   "lease = 3s\n";

struct error_record {
	int count;
	int line;
	char message[ERROR_MESSAGE_BYTES];
};

/* A bad file is the good one with one line replaced, or one added. */
struct bad_file {
	const char *old;
	const char *new;
	int line;
	const char *message;
};

static void write_file(char *path, const char *text, size_t len)
{
	int fd;

	strcpy(path, "/tmp/test-settings-XXXXXX");
	fd = mkstemp(path);
	if (fd < 0 || write(fd, text, len) != (ssize_t)len)
		abort();
	close(fd);
}

static void record_error(void *arg, const char *file, int line,
			 const char *message)
{
	struct error_record *f = arg;

	(void)file;
	if (!f->count++) {
		f->line = line;
		snprintf(f->message, sizeof(f->message), "%s", message);
	}
}

static int check(const char *text, size_t len, struct settings *s,
		 struct error_record *f)
{
	char path[64];
	int faults;

	memset(f, 0, sizeof(*f));
	write_file(path, text, len);
	faults = settings_check(path, s, record_error, f);
	unlink(path);
	return faults;
}

/* Guards against a value that ends up in another unit or field. */
static void test_good_file(void)
{
	struct settings s;
	struct error_record f;

	CU_ASSERT_EQUAL_FATAL(check(good, strlen(good), &s, &f), 0);
	CU_ASSERT_STRING_EQUAL(s.node.id, "e1");
	CU_ASSERT_EQUAL(s.front.listen.port, 8000);
	CU_ASSERT_EQUAL(s.front.threads, 64);
	CU_ASSERT_EQUAL(s.platform.lease_us, 3000000);
	CU_ASSERT_EQUAL(s.policy.outage_horizon_us, 900000000);
	CU_ASSERT_STRING_EQUAL(s.peers.curve_secret, SECRET);
}

/* Guards against a list of seeds that is cut or repeated by continuation. */
static void test_seeds_continue(void)
{
	char text[2048];
	struct settings s;
	struct error_record f;

	snprintf(text, sizeof(text), "%.*s%s%s",
		 (int)(strstr(good, "[platform]") - good), good,
		 "seeds = 127.0.0.1:1, 127.0.0.1:2,\n\t127.0.0.1:3\n",
		 strstr(good, "[platform]"));
	CU_ASSERT_EQUAL_FATAL(check(text, strlen(text), &s, &f), 0);
	CU_ASSERT_EQUAL(s.peers.seed_count, 3);
	CU_ASSERT_EQUAL(s.peers.seeds[2].port, 3);
}

/* Guards against a fault that is accepted or reported at another line. */
static void test_bad_files(void)
{
	static const struct bad_file files[] = {
		{ "id = e1\n", "id = e1\nid = e2\n", 3, "already given" },
		{ "id = e1\n", "ident = e1\n", 2, "unknown key" },
		{ "id = e1\n", "id\n", 2, "neither" },
		{ "id = e1\n", "id = a.b\n", 2, "character 2" },
		{ "id = e1\n", "id = e1\n  more\n", 3, "indented" },
		{ "id = e1\n", "", 1, "missing key \"id\"" },
		{ "[node]\n", "id = x\n[node]\n", 1, "before any section" },
		{ "[node]\n", "[node\n", 1, "without" },
		{ "[front]\n", "[frnt]\n", 5, "unknown section" },
		{ "[front]\n", "[node]\n[front]\n", 5, "already given" },
		{ ":8000\n", ":8001\n", 10, "also that of [front]" },
		{ "127.0.0.1:8000", "0.0.0.0:8002", 13, "also that of [fr" },
		{ "127.0.0.1:8002", "0.0.0.0:8002", 13, "that peers use" },
		{ ":8000\n", ":70000\n", 6, "not IP:PORT" },
		{ "127.0.0.1:8000", "localhost:8000", 6, "not IP:PORT" },
		{ "queue_limit = 48", "queue_limit = 65", 8, "above threads" },
		{ "threads = 64", "threads = 64 KB", 7, "unexpected unit" },
		{ "threads = 64", "threads = many", 7, "not a number" },
		{ "threads = 64", "threads = 99999", 7, "out of range" },
		{ "threads = 64", "body_limit = 64", 7, "missing unit" },
		{ "lease = 3s", "lease = 3h", 18, "unknown unit" },
		{ "lease = 3s", "lease = 10ms", 18, "out of range" },
		{ "lease = 3s", "lease = 99999999999999999999s", 18, "number" },
		{ "token = 0123456789abcdef", "token = abc", 11, "shorter" },
		{ PUBLIC, "short", 14, "40 characters" },
		{ PUBLIC, SECRET, 15, "does not belong" },
		{ "[platform]\n", "seeds = 127.0.0.1\n[platform]\n", 16,
		  "not IP:PORT" },
	};

	for (size_t i = 0; i < sizeof(files) / sizeof(files[0]); i++) {
		const struct bad_file *b = &files[i];
		const char *at = strstr(good, b->old);
		char text[2048];
		struct settings s;
		struct error_record f;
		int faults;

		snprintf(text, sizeof(text), "%.*s%s%s", (int)(at - good), good,
			 b->new, at + strlen(b->old));
		faults = check(text, strlen(text), &s, &f);
		if (!faults || f.line != b->line ||
		    !strstr(f.message, b->message))
			printf("\n%s -> %d: %s", b->new, f.line, f.message);
		CU_ASSERT(faults > 0);
		CU_ASSERT_EQUAL(f.line, b->line);
		CU_ASSERT_PTR_NOT_NULL(strstr(f.message, b->message));
	}
}

/* Guards against a check that stops at the first fault. */
static void test_every_error_is_reported(void)
{
	static const char text[] = "x\n[nod]\n[log]\nlevel = loud\nleve = 1\n";
	struct settings s;
	struct error_record f;

	/* Four in the text and each of the ten required keys. */
	CU_ASSERT_EQUAL(check(text, strlen(text), &s, &f), 14);
	CU_ASSERT_EQUAL(f.line, 1);
}

/* Guards against crashes and endless loops on files that are no text. */
static void test_random_bytes(void)
{
	struct rng r = { SEED };
	char text[2048];

	printf("seed %u ", SEED);
	for (int i = 0; i < RANDOM_FILES; i++) {
		size_t len = rng_below(&r, sizeof(text));
		struct settings s;
		struct error_record f;

		memcpy(text, good, strlen(good) < len ? strlen(good) : len);
		for (size_t j = strlen(good); j < len; j++)
			text[j] = (char)rng_next(&r);
		for (int j = 0; j < 8 && len; j++)
			text[rng_below(&r, (uint32_t)len)] = (char)rng_next(&r);
		check(text, len, &s, &f);
	}
}

/*
 * Guards against a reload with a fault that changes half of the settings, and
 * one without that leaves the log as it was.
 */
static void test_reload_is_all_or_nothing(void)
{
	char path[64], text[2048];
	struct settings running, read;
	struct error err;

	snprintf(text, sizeof(text), "%s[log]\nlevel = error\n", good);
	write_file(path, text, strlen(text));
	CU_ASSERT_EQUAL(settings_load(path, &running, &err), 0);
	CU_ASSERT_EQUAL(settings_reload(path, &running, NULL, 0, &read), 0);
	CU_ASSERT_EQUAL(log_get_level(), LOG_ERROR);
	unlink(path);
	snprintf(text, sizeof(text),
		 "%s[log]\nlevel = debug\nlines_per_second = 9\n", good);
	write_file(path, text, strlen(text));
	CU_ASSERT_EQUAL(settings_reload(path, &running, NULL, 0, &read), -1);
	CU_ASSERT_EQUAL(log_get_level(), LOG_ERROR);
	unlink(path);
	log_set_level(LOG_INFO);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "good file", test_good_file },
		{ "seeds continue", test_seeds_continue },
		{ "bad files", test_bad_files },
		{ "every fault is reported", test_every_error_is_reported },
		{ "random bytes", test_random_bytes },
		{ "reload takes the log or nothing",
		  test_reload_is_all_or_nothing },
	};

	return RUN_SUITE("settings", tests);
}
