/*
 * The fault proxy in front of the store: the effect of a cut link, a lost
 * response and a delay on a write, as seen by the client and by the store.
 */
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "http-client.h"
#include "support-cluster.h"
#include "support-unit.h"

#define LINK "store-0"
/* Port offset of the harness's proxied links of zone 0. */
#define LINK_PORT_OFFSET 60
#define REQUEST_TIMEOUT_US 400000u
#define DELIVERY_TIMEOUT_MS 3000

static struct cluster cluster;
static struct http_client *client;

/* Writes a key through the link. Returns the status, or a negative error. */
static int put_key(const char *key, uint64_t timeout_us)
{
	uint16_t port =
		(uint16_t)(cluster_store_port(&cluster) + LINK_PORT_OFFSET);
	struct http_response ans = { 0 };
	struct error err;
	char path[64];
	struct http_request req = {
		.method = "PUT",
		.path = path,
		.body = "x",
		.body_len = 1,
		.timeout_us = timeout_us,
		.max_response_bytes = 1024,
	};
	int status;

	snprintf(path, sizeof(path), "/v1/kv/%s?cas=0", key);
	if (http_call(client, "127.0.0.1", port, &req, &ans, &err) < 0)
		return -err.code;
	status = ans.status;
	http_response_free(&ans);
	return status;
}

/* Reads the key from the store directly, not through the proxy. */
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

/* Guards against a proxy that alters traffic without a configured fault. */
static void test_passthrough(void)
{
	char key[] = "plain";

	CU_ASSERT_EQUAL(put_key(key, REQUEST_TIMEOUT_US), 200);
	CU_ASSERT(is_stored(&cluster, key));
}

/* Guards against a cut that forwards requests, or drops them permanently. */
static void test_cut_requests(void)
{
	char key[] = "cut-up";

	set_link("{\"cut\":\"up\"}");
	CU_ASSERT_EQUAL(put_key(key, REQUEST_TIMEOUT_US), -HTTP_TIMEOUT);
	CU_ASSERT(!is_stored(&cluster, key));
	set_link("{\"cut\":\"none\"}");
	CU_ASSERT_EQUAL(cluster_wait_until(&cluster, is_stored, key,
					   DELIVERY_TIMEOUT_MS),
			0);
}

/* Guards against a cut of the responses that also blocks requests. */
static void test_cut_responses(void)
{
	char key[] = "cut-down";

	set_link("{\"cut\":\"down\"}");
	CU_ASSERT_EQUAL(put_key(key, REQUEST_TIMEOUT_US), -HTTP_TIMEOUT);
	CU_ASSERT(is_stored(&cluster, key));
	set_link("{\"cut\":\"none\"}");
	CU_ASSERT_EQUAL(put_key("after-cut-down", REQUEST_TIMEOUT_US), 200);
}

/* Guards against requests that pass a link that is cut both ways. */
static void test_cut_both(void)
{
	char key[] = "cut-both";

	set_link("{\"close\":true,\"cut\":\"both\"}");
	CU_ASSERT_EQUAL(put_key(key, REQUEST_TIMEOUT_US), -HTTP_TIMEOUT);
	set_link("{\"cut\":\"none\"}");
	CU_ASSERT_EQUAL(put_key("after-cut-both", REQUEST_TIMEOUT_US), 200);
	CU_ASSERT(!is_stored(&cluster, key));
}

/* Guards against a lost response whose request isn't executed. */
static void test_lost_response(void)
{
	char key[] = "lost";

	set_link("{\"lose_answer\":1}");
	CU_ASSERT(put_key(key, REQUEST_TIMEOUT_US) < 0);
	CU_ASSERT(is_stored(&cluster, key));
	set_link("{\"reset\":true}");
}

/* Guards against a delay that applies to one direction only or to none. */
static void test_delay(void)
{
	uint64_t begin_us = clock_now_us();

	set_link("{\"delay_ms\":60}");
	CU_ASSERT_EQUAL(put_key("delayed", REQUEST_TIMEOUT_US), 200);
	CU_ASSERT(clock_now_us() - begin_us >= 120000);
	set_link("{\"reset\":true}");
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "passthrough", test_passthrough },
		{ "cut requests", test_cut_requests },
		{ "cut responses", test_cut_responses },
		{ "cut both ways", test_cut_both },
		{ "lost response", test_lost_response },
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
