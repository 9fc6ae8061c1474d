/*
 * Checks the invariants of the system against the journals of the fake services
 * and the load generators. Exit status: 0 if all hold, 1 if one is broken, 2 if
 * a journal or an argument is invalid.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <jansson.h>

#include "support-check.h"

#define FILES_MAX 256

struct arguments {
	struct arg_file *dead;
	struct arg_int *leave_ms;
	struct arg_int *examples;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_file *journals;
	struct arg_end *end;
};

static const char *verdict(const struct check_result *r);
static bool is_note(const struct check_result *r);
static void print_table(const struct check_result *results,
			const struct check_counts *n);
static void print_json(const struct check_result *results,
		       const struct check_counts *n);
static int run(const struct arguments *a);

static const char *verdict(const struct check_result *r)
{
	if (r->violations)
		return is_note(r) ? "noted" : "BROKEN";
	return r->cases ? "held" : "no case";
}

/* A note is reported, but doesn't count as a broken invariant. */
static bool is_note(const struct check_result *r)
{
	return !strcmp(r->invariant, "note");
}

static void print_table(const struct check_result *results,
			const struct check_counts *n)
{
	printf("%-5s%-40s%10s%8s  %s\n", "no", "invariant", "cases", "broken",
	       "verdict");
	for (size_t i = 0; i < CHECK_RULE_COUNT; i++) {
		const struct check_result *r = &results[i];

		printf("%-5s%-40s%10llu%8llu  %s\n", r->invariant, r->text,
		       (unsigned long long)r->cases,
		       (unsigned long long)r->violations, verdict(r));
	}
	printf("runs=%llu answers=%llu attempts=%llu finished=%llu "
	       "evicted=%llu resumed=%llu\n",
	       (unsigned long long)n->runs, (unsigned long long)n->answers,
	       (unsigned long long)n->attempts, (unsigned long long)n->finished,
	       (unsigned long long)n->evicted, (unsigned long long)n->resumed);
}

static void print_json(const struct check_result *results,
		       const struct check_counts *n)
{
	json_t *list = json_array(), *root;

	for (size_t i = 0; i < CHECK_RULE_COUNT; i++)
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:I,s:I}", "invariant",
				  results[i].invariant, "text", results[i].text,
				  "cases", (json_int_t)results[i].cases,
				  "broken", (json_int_t)results[i].violations));
	root = json_pack(
		"{s:o,s:I,s:I,s:I,s:I,s:I,s:I}", "invariants", list, "runs",
		(json_int_t)n->runs, "answers", (json_int_t)n->answers,
		"attempts", (json_int_t)n->attempts, "finished",
		(json_int_t)n->finished, "evicted", (json_int_t)n->evicted,
		"resumed", (json_int_t)n->resumed);
	json_dumpf(root, stdout, JSON_COMPACT);
	printf("\n");
	json_decref(root);
}

static int run(const struct arguments *a)
{
	struct check_result results[CHECK_RULE_COUNT];
	struct check *c = check_create((uint64_t)a->leave_ms->ival[0] * 1000);
	struct check_counts counts;
	int rc = 2;

	for (int i = 0; i < a->journals->count; i++)
		if (check_read(c, a->journals->filename[i], false) < 0)
			goto out;
	for (int i = 0; i < a->dead->count; i++)
		if (check_read(c, a->dead->filename[i], true) < 0)
			goto out;
	check_count(c, &counts);
	check_evaluate(c, results, (unsigned)a->examples->ival[0]);
	if (a->json->count)
		print_json(results, &counts);
	else
		print_table(results, &counts);
	rc = 0;
	for (size_t i = 0; i < CHECK_RULE_COUNT; i++)
		if (results[i].violations && !is_note(&results[i]))
			rc = 1;
out:
	check_free(c);
	return rc;
}

int main(int argc, char **argv)
{
	struct arguments a = {
		.dead = arg_filen(NULL, "dead", "FILE", 0, FILES_MAX,
				  "journal of a process that was killed"),
		.leave_ms =
			arg_int0(NULL, "leave-ms", "MS",
				 "grace period of invariant 7 (default: 3000)"),
		.examples = arg_int0(
			NULL, "examples", "N",
			"violations printed per invariant (default: 5)"),
		.json = arg_lit0(NULL, "json", "print JSON"),
		.help = arg_lit0("h", "help", "print this help"),
		.journals =
			arg_filen(NULL, NULL, "JOURNAL", 0, FILES_MAX, NULL),
		.end = arg_end(8),
	};
	void *table = &a;
	int rc = 2;

	a.leave_ms->ival[0] = 3000;
	a.examples->ival[0] = 5;
	if (arg_parse(argc, argv, table) || a.help->count ||
	    a.journals->count + a.dead->count == 0) {
		arg_print_errors(stderr, a.end, "journal-check");
		arg_print_glossary(stderr, table, "%-22s %s\n");
	} else {
		rc = run(&a);
	}
	arg_freetable(table, sizeof(a) / sizeof(void *));
	return rc;
}
