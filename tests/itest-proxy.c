/*
 * The fault proxy in front of the store: what a cut, a lost answer and a delay
 * do to a write, as seen by the caller and in the store.
 */
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "http-client.h"
#include "support-cluster.h"
#include "support-unit.h"

#define LINK "store-0"
/* The harness listens for the links of zone 0 here. */
#define LINK_PORT_OFFSET 60
#define SHORT_US 400000u
#define SETTLE_MS 3000

static struct cluster cluster;
static struct http_client *client;

/* Writes a key through the link. Returns the status, or minus the error. */
static int put(const char *key, uint64_t timeout_us)
{
	uint16_t port =
		(uint16_t)(cluster_store_port(&cluster) + LINK_PORT_OFFSET);
	struct http_answer ans = { 0 };
	struct error err;
	char path[64];
	struct http_request req = {
		.method = "PUT",
		.path = path,
		.body = "x",
		.body_len = 1,
		.timeout_us = timeout_us,
		.max_answer_bytes = 1024,
	};
	int status;

	snprintf(path, sizeof(path), "/v1/kv/%s?cas=0", key);
	if (http_call(client, "127.0.0.1", port, &req, &ans, &err) < 0)
		return -err.code;
	status = ans.status;
	http_answer_free(&ans);
	return status;
}

/* Asks the store itself. */
static bool is_stored(struct cluster *c, void *key)
{
	char path[64];

	snprintf(path, sizeof(path), "/v1/kv/%s", (const char *)key);
	return cluster_http(cluster_store_port(c), "GET", path, NULL, NULL,
			    NULL) == 200;
}

static void set_link(const char *json)
{
	CU_ASSERT_EQUAL(cluster_set_link(&cluster, LINK, json), 0);
}

/* Guards against a proxy that changes what passes it. */
static void test_plain(void)
{
	char key[] = "plain";

	CU_ASSERT_EQUAL(put(key, SHORT_US), 200);
	CU_ASSERT(is_stored(&cluster, key));
}

/* Guards against a cut that lets requests through, or loses them for good. */
static void test_cut_up(void)
{
	char key[] = "cut-up";

	set_link("{\"cut\":\"up\"}");
	CU_ASSERT_EQUAL(put(key, SHORT_US), -HTTP_TIMEOUT);
	CU_ASSERT(!is_stored(&cluster, key));
	set_link("{\"cut\":\"none\"}");
	CU_ASSERT_EQUAL(cluster_wait_until(&cluster, is_stored, key, SETTLE_MS),
			0);
}

/* Guards against a cut of the answers that also stops the request. */
static void test_cut_down(void)
{
	char key[] = "cut-down";

	set_link("{\"cut\":\"down\"}");
	CU_ASSERT_EQUAL(put(key, SHORT_US), -HTTP_TIMEOUT);
	CU_ASSERT(is_stored(&cluster, key));
	set_link("{\"cut\":\"none\"}");
	CU_ASSERT_EQUAL(put("after-cut-down", SHORT_US), 200);
}

/* Guards against a link that is cut both ways but reaches the target. */
static void test_cut_both(void)
{
	char key[] = "cut-both";

	set_link("{\"close\":true,\"cut\":\"both\"}");
	CU_ASSERT_EQUAL(put(key, SHORT_US), -HTTP_TIMEOUT);
	set_link("{\"cut\":\"none\"}");
	CU_ASSERT_EQUAL(put("after-cut-both", SHORT_US), 200);
	CU_ASSERT(!is_stored(&cluster, key));
}

/* Guards against a lost answer whose request had no effect. */
static void test_lost_answer(void)
{
	char key[] = "lost";

	set_link("{\"lose_answer\":1}");
	CU_ASSERT(put(key, SHORT_US) < 0);
	CU_ASSERT(is_stored(&cluster, key));
	set_link("{\"reset\":true}");
}

/* Guards against a delay that acts in one direction only, or not at all. */
static void test_delay(void)
{
	uint64_t begin_us = clock_now_us();

	set_link("{\"delay_ms\":60}");
	CU_ASSERT_EQUAL(put("delayed", SHORT_US), 200);
	CU_ASSERT(clock_now_us() - begin_us >= 120000);
	set_link("{\"reset\":true}");
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "plain", test_plain },
		{ "cut towards the target", test_cut_up },
		{ "cut towards the caller", test_cut_down },
		{ "cut both ways", test_cut_both },
		{ "lost answer", test_lost_answer },
		{ "delay", test_delay },
	};
	struct cluster_options o;
	int status = 1;

	cluster_default_options(&o);
	o.zones = 1;
	memset(o.entries, 0, sizeof(o.entries));
	o.runners = 0;
	o.workers = 0;
	o.proxy_links = true;
	client = http_client_create(0);
	printf("seed=%llu\n", (unsigned long long)o.seed);
	if (cluster_start(&cluster, &o) < 0)
		goto out;
	status = RUN_SUITE("proxy", tests);
out:
	cluster_stop(&cluster);
	http_client_destroy(client);
	return status;
}
