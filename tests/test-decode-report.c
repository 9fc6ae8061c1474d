#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "decode.h"
#include "support-unit.h"

#define REPORT_JSON                                                       \
	"{\"clock-ms\":482113,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\"," \
	"2,\"00000bb87a21d94b\",41,3500]],\"ended\":[[58,"                \
	"\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}"

static void test_report(void)
{
	json_t *root = json_loads(REPORT_JSON, 0, NULL);
	struct sched_report r;
	struct error err;

	CU_ASSERT_EQUAL_FATAL(decode_report(root, &r, &err), 0);
	CU_ASSERT_EQUAL(r.running_count, 1);
	CU_ASSERT_STRING_EQUAL(r.running[0].task, "5c0e7a21d94b36f8.0.1.17");
	CU_ASSERT_EQUAL(r.running[0].run, 2);
	CU_ASSERT_STRING_EQUAL(r.running[0].checkpoint, "00000bb87a21d94b");
	CU_ASSERT_EQUAL(r.running[0].progress_percent, 41);
	CU_ASSERT_EQUAL(r.running[0].metric, 3500);
	CU_ASSERT_EQUAL(r.ended_count, 1);
	CU_ASSERT_EQUAL(r.ended[0].seq, 58);
	CU_ASSERT_EQUAL(r.ended[0].reason, SCHED_END_DONE);
	CU_ASSERT_FALSE(r.ended_truncated);
	free((void *)r.running);
	free((void *)r.ended);
	json_decref(root);
}

/* A report with an invalid end is rejected, so the end is not acknowledged. */
static void test_malformed_reports(void)
{
	static const char *const texts[] = {
		"{}",
		"{\"running\":[]}",
		"{\"running\":5,\"ended\":[]}",
		"{\"running\":[],\"ended\":[[1,\"t\",1,\"vanished\",\"\"]]}",
		"{\"running\":[],\"ended\":[5]}",
	};
	struct error err;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		json_t *root = json_loads(texts[i], 0, NULL);
		struct sched_report r;

		CU_ASSERT_EQUAL(decode_report(root, &r, &err), -1);
		free((void *)r.running);
		free((void *)r.ended);
		json_decref(root);
	}
}

static int decode_report_text(const char *text)
{
	json_t *root = json_loads(text, 0, NULL);
	struct sched_report r;
	struct error err;
	int ret;

	CU_ASSERT_PTR_NOT_NULL_FATAL(root);
	ret = decode_report(root, &r, &err);
	if (ret < 0) {
		CU_ASSERT_EQUAL(r.running_count, 0);
		CU_ASSERT_EQUAL(r.ended_count, 0);
	}
	free((void *)r.running);
	free((void *)r.ended);
	json_decref(root);
	return ret;
}

/*
 * Guards against a report that is read in part: tasks that it does not name are
 * started again elsewhere.
 */
static void test_odd_rows_in_reports(void)
{
	static const char *const running[] = {
		"5",
		"[]",
		"[5,1,\"\",0]",
		"[\"\",1,\"\",0]",
		"[\"5c0e7a21d94b36f8.0.1.17\"]",
		"[\"5c0e7a21d94b36f8.0.1.17\",0,\"\",0]",
		"[\"5c0e7a21d94b36f8.0.1.17\",-1,\"\",0]",
		"[\"5c0e7a21d94b36f8.0.1.17\",1.5,\"\",0]",
		"[\"5c0e7a21d94b36f8.0.1.17\",4294967296,\"\",0]",
		"[\"5c0e7a21d94b36f8.0.1.17\",\"1\",\"\",0]",
		"[\"5c0e7a21d94b36f8.0.1.17\",1,5,0]",
		"[\"5c0e7a21d94b36f8.0.1.17\",1,\"\",\"41\"]",
		"[\"5c0e7a21d94b36f8.0.1.17\",1,\"\",41,\"fast\"]",
		"[\"0123456789012345678901234567890123456789"
		"012345678901234567890123\",1,\"\",0]",
	};
	static const char *const ended[] = {
		"{}",
		"[0,\"t\",1,\"done\",\"\"]",
		"[-1,\"t\",1,\"done\",\"\"]",
		"[1.5,\"t\",1,\"done\",\"\"]",
		"[1e300,\"t\",1,\"done\",\"\"]",
		"[\"1\",\"t\",1,\"done\",\"\"]",
		"[1,\"\",1,\"done\",\"\"]",
		"[1,\"t\",0,\"done\",\"\"]",
		"[1,\"t\",1,5,\"\"]",
		"[1,\"t\",1,\"done\",[]]",
	};
	static const char *const born[] = { "\"77\"", "-77", "77.5", "1e300",
					    "[]" };
	char text[400];

	for (size_t i = 0; i < sizeof(running) / sizeof(*running); i++) {
		snprintf(text, sizeof(text), "{\"running\":[%s],\"ended\":[]}",
			 running[i]);
		CU_ASSERT_EQUAL(decode_report_text(text), -1);
	}
	for (size_t i = 0; i < sizeof(ended) / sizeof(*ended); i++) {
		snprintf(text, sizeof(text), "{\"running\":[],\"ended\":[%s]}",
			 ended[i]);
		CU_ASSERT_EQUAL(decode_report_text(text), -1);
	}
	for (size_t i = 0; i < sizeof(born) / sizeof(*born); i++) {
		snprintf(text, sizeof(text),
			 "{\"born\":%s,\"running\":[],\"ended\":[]}", born[i]);
		CU_ASSERT_EQUAL(decode_report_text(text), -1);
	}
}

/*
 * Guards against a report that is too long for a relay's message, as the relay
 * would be lost with all its workers.
 */
static void test_long_reports(void)
{
	enum { ROWS = 12000, CHECKPOINT = 65536 };
	char *checkpoint = xcalloc(1, CHECKPOINT + 1);
	json_t *row, *runs = json_array();
	char *text;

	memset(checkpoint, 'c', CHECKPOINT);
	row = json_pack("{s:[[s,i,s,i]],s:[]}", "running", "t.0.0.0", 1,
			checkpoint, 0, "ended");
	text = json_dumps(row, JSON_COMPACT);
	CU_ASSERT_EQUAL(decode_report_text(text), -1);
	free(text);
	json_decref(row);
	for (int i = 0; i < ROWS; i++)
		json_array_append_new(
			runs, json_pack("[s,i,s,i]", "t.0.0.0", i + 1, "", 0));
	row = json_pack("{s:o,s:[]}", "running", runs, "ended");
	text = json_dumps(row, JSON_COMPACT);
	CU_ASSERT_EQUAL(decode_report_text(text), -1);
	free(text);
	json_decref(row);
	free(checkpoint);
}

/* The figures of a run are rough; those that do not fit read as 0. */
static void test_rough_figures_in_reports(void)
{
	static const char *const rows[] = {
		"[\"t.0.0.0\",1,\"\",41]",
		"[\"t.0.0.0\",1,\"\",41.25,3500.5]",
		"[\"t.0.0.0\",1,\"\",100,null]",
		"[\"t.0.0.0\",1,\"\",0,-1]",
		"[\"t.0.0.0\",1,\"\",0,1e300]",
		"[\"t.0.0.0\",1,null,0,1]",
	};
	char text[200];

	for (size_t i = 0; i < sizeof(rows) / sizeof(*rows); i++) {
		snprintf(text, sizeof(text), "{\"running\":[%s],\"ended\":[]}",
			 rows[i]);
		CU_ASSERT_EQUAL(decode_report_text(text), 0);
	}
}

/* Guards against a lease until a time that a clock out of range gives. */
static void test_clocks_of_workers(void)
{
	static const char *const odd[] = {
		"{}",
		"{\"clock-ms\":null}",
		"{\"clock-ms\":\"482113\"}",
		"{\"clock-ms\":-1}",
		"{\"clock-ms\":482113.5}",
		"{\"clock-ms\":9e18}",
		"{\"clock-ms\":1e300}",
	};
	json_t *root = json_loads("{\"clock-ms\":482113}", 0, NULL);

	CU_ASSERT_EQUAL(decode_worker_clock(root), 482113);
	json_decref(root);
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		root = json_loads(odd[i], 0, NULL);
		CU_ASSERT_PTR_NOT_NULL(root);
		CU_ASSERT_EQUAL(decode_worker_clock(root), 0);
		json_decref(root);
	}
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "report", test_report },
		{ "clocks of workers", test_clocks_of_workers },
		{ "malformed reports", test_malformed_reports },
		{ "odd rows in reports", test_odd_rows_in_reports },
		{ "long reports", test_long_reports },
		{ "rough figures in reports", test_rough_figures_in_reports },
	};

	return RUN_SUITE("decode-report", tests);
}
