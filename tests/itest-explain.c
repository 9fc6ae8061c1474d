/* waxwingctl job explain, on logs of several entry VMs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "support-cluster-internal.h"
#include "support-unit.h"

#define JOB "00000000000000aa"

static struct cluster cluster;

static const char owner_log[] =
	"ts=100.000000 level=info node=vm-1 event=job-received job=" JOB
	" queue=q age_ms=1\n"
	"ts=100.100000 level=info node=vm-1 event=step-waits job=" JOB
	" step=0 waiting=2 backlog=4\n"
	"ts=100.200000 level=info node=vm-1 event=step-placed "
	"job=00000000000000bb step=0 placed=3 waiting=0\n"
	"ts=100.600000 level=info node=vm-1 event=step-placed job=" JOB
	" step=0 placed=2 waiting=0\n";

static const char relay_log[] =
	"ts=99.000000 level=info node=vm-2 event=request-answered call=submit "
	"job=" JOB " status=200 took_us=1 why=-\n"
	"ts=100.300000 level=info node=vm-2 event=relay-call-expired "
	"worker=w1 lane=0 late_ms=3\n";

static const char expected[] =
	"    +0.000 s  vm-2                 request-answered call=submit "
	"job=" JOB " status=200 took_us=1 why=-\n"
	"    +1.000 s  vm-1                 job-received job=" JOB
	" queue=q age_ms=1\n"
	"    +1.100 s  vm-1                 step-waits job=" JOB
	" step=0 waiting=2 backlog=4\n"
	"    +1.600 s  vm-1                 step-placed job=" JOB
	" step=0 placed=2 waiting=0\n"
	"\n"
	"waits:\n"
	"    +1.100 s  for 0.500 s: step 0, 2 tasks without a worker, "
	"backlog 4; meanwhile placed: 3 tasks of 1 other jobs, 3 of "
	"00000000000000bb; placed\n";

static void write_log(const char *path, const char *text)
{
	FILE *f = fopen(path, "w");

	if (!f || fputs(text, f) < 0 || fclose(f) != 0)
		abort();
}

static void check_output(const char *name)
{
	char *text = cluster_read_file(&cluster, name);

	CU_ASSERT_PTR_NOT_NULL_FATAL(text);
	CU_ASSERT_STRING_EQUAL(text, expected);
	if (strcmp(text, expected) != 0)
		printf("%s", text);
	free(text);
}

/*
 * Guards against logs of a directory that are left out, and against an exit
 * status that hides a missing file.
 */
static void test_directory(void)
{
	char folder[300], owner[320], relay[320], missing[320];
	const char *by_folder[] = { "waxwingctl", "job",  "explain",
				    JOB,	  folder, NULL };
	const char *by_file[] = { "waxwingctl", "job", "explain", JOB,
				  relay,	owner, NULL };
	const char *none[] = { "waxwingctl", "job",   "explain",
			       JOB,	     missing, NULL };
	const char *other[] = { "waxwingctl",	    "job",  "explain",
				"00000000000000dd", folder, NULL };

	snprintf(folder, sizeof(folder), "%s/logs", cluster.folder);
	snprintf(owner, sizeof(owner), "%s/owner.log", folder);
	snprintf(relay, sizeof(relay), "%s/relay.log", folder);
	snprintf(missing, sizeof(missing), "%s/missing.log", folder);
	CU_ASSERT_EQUAL_FATAL(mkdir(folder, 0755), 0);
	write_log(owner, owner_log);
	write_log(relay, relay_log);
	CU_ASSERT_EQUAL(cluster_run(&cluster, by_folder, "folder.out"), 0);
	check_output("folder.out");
	CU_ASSERT_EQUAL(cluster_run(&cluster, by_file, "files.out"), 0);
	check_output("files.out");
	CU_ASSERT_EQUAL(cluster_run(&cluster, none, "none.out"), 5);
	CU_ASSERT_EQUAL(cluster_run(&cluster, other, "other.out"), 1);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "directory of logs", test_directory },
	};
	int status = 1;

	if (cluster_prepare(&cluster, 0) == 0) {
		status = RUN_SUITE("explain", tests);
		cluster_remove_folder(&cluster);
	}
	return status;
}
