#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "rng.h"
#include "sheet.h"
#include "support-unit.h"

#define SEED 20261204u
#define HEADER                                               \
	"record,user,team,kind,priority,share,limit,yields," \
	"cpu,memory,target,start,minutes\n"

static const char valid_sheet[] =
	HEADER "kind,yildirim,,draft,urgent,40,0,no,,,,,\n"
	       "\r\n"
	       "kind,\"yildirim\",,archive,deferrable,10,200,yes,,,,,\r\n"
	       "kind,bandargah,,closure,normal,50,0,no,,,,,\n"
	       "team,yildirim,kadikoy-1,,,60,64,,12.5,48,,,\n"
	       "stop,,,,,,,,,,rack:r7,2026-12-04T06:30:00Z,45\n";

struct error_record {
	unsigned count;
	unsigned line;
	unsigned column;
	char message[ERROR_MESSAGE_BYTES];
};

struct invalid_row {
	const char *row;
	unsigned line; /* 2 is the first after the header */
	unsigned column;
	const char *message;
};

static void record_error(void *arg, unsigned line, unsigned column,
			 const char *message)
{
	struct error_record *f = arg;

	if (f->count++)
		return;
	f->line = line;
	f->column = column;
	snprintf(f->message, sizeof(f->message), "%s", message);
}

/* Guards against values in the wrong field and failing lookups. */
static void test_valid_sheet(void)
{
	struct error err;
	struct sheet *s = sheet_parse_csv(valid_sheet, strlen(valid_sheet),
					  NULL, NULL, &err);
	const struct sheet_kind *k;
	int i;

	CU_ASSERT_PTR_NOT_NULL_FATAL(s);
	CU_ASSERT_EQUAL(s->kind_count, 3);
	i = sheet_find_kind(s, "yildirim", "archive");
	CU_ASSERT_FATAL(i >= 0);
	k = &s->kinds[i];
	CU_ASSERT_EQUAL(k->priority, URGENCY_DEFERRABLE);
	CU_ASSERT_EQUAL(k->share_percent, 10);
	CU_ASSERT_EQUAL(k->limit, 200);
	CU_ASSERT_TRUE(k->yields);
	i = sheet_find_team(s, "yildirim", "kadikoy-1");
	CU_ASSERT_EQUAL_FATAL(i, 0);
	CU_ASSERT_EQUAL(s->teams[0].cpu_milli, 12500);
	CU_ASSERT_EQUAL(s->teams[0].memory_mb, 48 * 1024);
	CU_ASSERT_EQUAL(s->stops[0].scope, STOP_RACK);
	CU_ASSERT_EQUAL(s->stops[0].start_us, 1796365800000000u);
	CU_ASSERT_EQUAL(s->stops[0].duration_us, 2700000000u);
	CU_ASSERT_EQUAL(sheet_find_kind(s, "yildirim", "none"), -1);
	CU_ASSERT_EQUAL(sheet_find_team(s, "yildirim", ""), -1);
	CU_ASSERT_TRUE(sheet_has_user(s, "bandargah"));
	CU_ASSERT_FALSE(sheet_has_user(s, "other"));
	sheet_free(s);
}

/* Guards against a sheet that changes when it is stored and read back. */
static void test_json_round_trip(void)
{
	struct error err;
	struct sheet *s = sheet_parse_csv(valid_sheet, strlen(valid_sheet),
					  NULL, NULL, &err);
	char *first = sheet_to_json(s), *second;
	struct sheet *again = sheet_from_json(first, strlen(first), &err);

	CU_ASSERT_PTR_NOT_NULL_FATAL(again);
	second = sheet_to_json(again);
	CU_ASSERT_STRING_EQUAL(first, second);
	/* Every truncation of the text must be rejected. */
	for (size_t n = 0; n < strlen(first); n++)
		if (sheet_from_json(first, n, &err))
			CU_FAIL("a truncated sheet was accepted");
	free(first);
	free(second);
	sheet_free(s);
	sheet_free(again);
}

/* Guards against an error that is accepted or has a wrong position. */
static void test_invalid_rows(void)
{
	static const struct invalid_row rows[] = {
		{ "kindred,u,,k,urgent,1,0,no,,,,,\n", 2, 1,
		  "not one of kind" },
		{ "kind,u v,,k,urgent,1,0,no,,,,,\n", 2, 6,
		  "not a valid name" },
		{ "kind,u,t,k,urgent,1,0,no,,,,,\n", 2, 8, "must be empty" },
		{ "kind,u,,k,soon,1,0,no,,,,,\n", 2, 11, "not one of urgent" },
		{ "kind,u,,k,urgent,101,0,no,,,,,\n", 2, 18, "range" },
		{ "kind,u,,k,urgent,-1,0,no,,,,,\n", 2, 18, "whole number" },
		{ "kind,u,,k,urgent,1,0,maybe,,,,,\n", 2, 22, "not one of no" },
		{ "kind,u,,k,urgent,1,0,no,,,,\n", 2, 1, "12 columns" },
		{ "kind,u,,k,urgent,1,0,no,,,,,,\n", 2, 1, "14 columns" },
		{ "kind,u,,k,urgent,60,0,no,,,,,\n"
		  "\n"
		  "kind,u,,l,urgent,60,0,no,,,,,\n",
		  4, 1, "add up to 120%" },
		{ "kind,u,,k,urgent,1,0,no,,,,,\n"
		  "kind,u,,k,normal,1,0,no,,,,,\n",
		  3, 1, "already given in line 2" },
		{ "team,u,t,,,1,0,,1,1,,,\n", 2, 1, "has no kind" },
		{ "kind,u,,k,urgent,1,0,no,,,,,\n"
		  "team,u,t,,,1,0,,1.2345,1,,,\n",
		  3, 17, "3 decimals" },
		{ "stop,,,,,,,,,,host:a,2026-12-04T06:30:00Z,1\n", 2, 15,
		  "not one of vm" },
		{ "stop,,,,,,,,,,vm:a,2026-02-30T06:30:00Z,1\n", 2, 20,
		  "not a UTC time" },
		{ "stop,,,,,,,,,,vm:a,2026-12-04 06:30,1\n", 2, 20,
		  "not a UTC time" },
		{ "stop,,,,,,,,,,vm:a,2026-12-04T06:30:00Z,0\n", 2, 41,
		  "out of range" },
		{ "kind,u\"v,,k,urgent,1,0,no,,,,,\n", 2, 7, "misplaced" },
		{ "kind,\"u\nv\",,k,urgent,x,0,no,,,,,\n", 2, 6,
		  "not a valid name" },
		{ "\nkind,u,,k,urgent,1,0,no,,,,,\"\n", 3, 29, "unterminated" },
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const struct invalid_row *b = &rows[i];
		struct error_record f = { 0 };
		struct error err;
		char text[512];

		snprintf(text, sizeof(text), HEADER "%s", b->row);
		CU_ASSERT_PTR_NULL(sheet_parse_csv(text, strlen(text),
						   record_error, &f, &err));
		if (f.line != b->line || f.column != b->column ||
		    !strstr(f.message, b->message))
			printf("\n%s -> %u:%u %s", b->row, f.line, f.column,
			       f.message);
		CU_ASSERT_EQUAL(f.line, b->line);
		CU_ASSERT_EQUAL(f.column, b->column);
		CU_ASSERT_PTR_NOT_NULL(strstr(f.message, b->message));
		CU_ASSERT_PTR_NOT_NULL(strstr(err.message, b->message));
	}
}

/* Guards against parsing in time quadratic in the number of rows. */
static void test_many_invalid_rows(void)
{
	struct buffer b = BUFFER_INIT;
	struct error_record f = { 0 };
	struct error err;
	uint64_t start;

	buffer_append_str(&b, HEADER);
	for (int i = 0; i < 50000; i++)
		buffer_printf(&b, "kind,u,,k%d,never,1,0,no,,,,,\n", i);
	start = clock_now_us();
	CU_ASSERT_PTR_NULL(
		sheet_parse_csv(b.data, b.len, record_error, &f, &err));
	printf("%llu ms ", (unsigned long long)(clock_now_us() - start) / 1000);
	CU_ASSERT_EQUAL(f.count, 50000);
	buffer_free(&b);
}

/* Guards against crashes, endless loops and missing errors on random input. */
static void test_random_bytes(void)
{
	static const char alphabet[] = "\",\r\n \0,kind0\xff";
	struct rng r = { SEED };
	char text[1024];
	int silent = 0; /* rejected without an error message */

	printf("seed %u ", SEED);
	for (int i = 0; i < 5000; i++) {
		size_t len = rng_below(&r, sizeof(text));
		size_t keep = rng_below(&r, sizeof(valid_sheet));
		struct error err;
		struct sheet *s;

		for (size_t j = 0; j < len; j++)
			text[j] = alphabet[rng_below(&r, sizeof(alphabet) - 1)];
		memcpy(text, valid_sheet, keep < len ? keep : len);
		error_clear(&err);
		s = sheet_parse_csv(text, len, NULL, NULL, &err);
		silent += !s && !err.message[0];
		sheet_free(s);
		error_clear(&err);
		s = sheet_from_json(text, len, &err);
		silent += !s && !err.message[0];
		sheet_free(s);
	}
	CU_ASSERT_EQUAL(silent, 0);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "valid sheet", test_valid_sheet },
		{ "JSON round trip", test_json_round_trip },
		{ "invalid rows", test_invalid_rows },
		{ "many invalid rows", test_many_invalid_rows },
		{ "random bytes", test_random_bytes },
	};

	return RUN_SUITE("sheet", tests);
}
