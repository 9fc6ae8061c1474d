#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "http-client.h"
#include "support-cluster.h"

#define HTTP_TIMEOUT_US 10000000u
#define POLL_US 20000u

int cluster_http(uint16_t port, const char *method, const char *path,
		 const char *headers, const char *body, struct buffer *answer)
{
	static struct http_client *client;
	char lines[1024];
	struct http_response ans = { 0 };
	struct error err;
	struct http_request req = {
		.method = method,
		.path = path,
		.headers = lines,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.timeout_us = HTTP_TIMEOUT_US,
		.max_response_bytes = 4u << 20,
	};
	int status;

	/* No idle connections: after a restart they would be stale. */
	if (!client)
		client = http_client_create(0);
	snprintf(lines, sizeof(lines), "Authorization: Bearer %s\r\n%s",
		 CLUSTER_TOKEN, headers ? headers : "");
	if (http_call(client, "127.0.0.1", port, &req, &ans, &err) < 0)
		return -1;
	if (answer)
		buffer_append(answer, ans.body.data, ans.body.len);
	status = ans.status;
	http_response_free(&ans);
	return status;
}

int cluster_set_fault(uint16_t port, const char *json)
{
	int status = cluster_http(port, "POST", "/v1/fault", NULL, json, NULL);

	if (status == 200)
		return 0;
	fprintf(stderr, "cannot set fault %s on port %u: status %d\n", json,
		port, status);
	return -1;
}

int cluster_set_link(struct cluster *c, const char *link, const char *json)
{
	char path[96];
	int status;

	snprintf(path, sizeof(path), "/v1/links/%s", link);
	status = cluster_http(cluster_proxy_port(c), "POST", path, NULL, json,
			      NULL);
	if (status == 200)
		return 0;
	fprintf(stderr, "cannot set link %s to %s: status %d\n", link, json,
		status);
	return -1;
}

int cluster_partition_zone(struct cluster *c, uint32_t zone, bool cut)
{
	const char *json = cut ? "{\"cut\":\"both\"}" : "{\"cut\":\"none\"}";
	char link[32];
	int ret;

	snprintf(link, sizeof(link), "store-%u", zone);
	ret = cluster_set_link(c, link, json);
	for (uint32_t z = 0; z < c->options.zones; z++) {
		for (uint32_t e = 0; e < c->entry_count; e++) {
			uint32_t other = c->entry_zone[e];

			if (z == other || (z != zone && other != zone))
				continue;
			snprintf(link, sizeof(link), "peer-%u-%u", z, e);
			ret |= cluster_set_link(c, link, json);
		}
	}
	return ret;
}

int cluster_wait_until(struct cluster *c,
		       bool (*fn)(struct cluster *c, void *arg), void *arg,
		       uint32_t timeout_ms)
{
	uint64_t end = clock_now_us() + timeout_ms * 1000ull;

	while (!fn(c, arg)) {
		if (clock_now_us() > end)
			return -1;
		clock_sleep_us(POLL_US);
	}
	return 0;
}

char *cluster_read_file(struct cluster *c, const char *file)
{
	struct buffer b = BUFFER_INIT;
	char path[600], part[65536];
	size_t n;
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s", c->folder, file);
	f = fopen(path, "r");
	if (!f)
		return NULL;
	while ((n = fread(part, 1, sizeof(part), f)) > 0)
		buffer_append(&b, part, n);
	fclose(f);
	return buffer_detach(&b, NULL);
}

uint32_t cluster_count_lines(struct cluster *c, const char *file,
			     const char *one, const char *other)
{
	char *text = cluster_read_file(c, file);
	uint32_t count = 0;

	if (!text)
		return 0;
	for (char *line = strtok(text, "\n"); line; line = strtok(NULL, "\n"))
		if ((!one || strstr(line, one)) &&
		    (!other || strstr(line, other)))
			count++;
	free(text);
	return count;
}
