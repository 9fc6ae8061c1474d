#include <ctype.h>
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "clock.h"
#include "cmd.h"
#include "http-client.h"

#define CALL_TIMEOUT_US 15000000u
#define RESPONSE_MAX_BYTES (64u * 1024u * 1024u)
#define FILE_MAX_BYTES (64u * 1024u * 1024u)
#define PROGRESS_DELAY_US 1000000u
#define PROGRESS_INTERVAL_US 250000u

struct progress {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool running;
	bool ending;
	char label[80];
};

static struct progress progress = { .lock = PTHREAD_MUTEX_INITIALIZER,
				    .wake = PTHREAD_COND_INITIALIZER };

static bool split_address(const char *text, char host[48], uint16_t *port);
static const char *choose(const struct arg_str *option, const char *variable);
static int exit_for_status(int status);
static void print_refusal(const struct cmd_options *o, int status,
			  const json_t *root);
static void *show_progress(void *arg);

void cmd_options_init(struct cmd_options *o)
{
	o->operator_address =
		arg_str0("o", "operator", "IP:PORT",
			 "entry VM to ask (else WAXWING_OPERATOR)");
	o->token = arg_str0(NULL, "token", "TOKEN",
			    "operators' token (else WAXWING_TOKEN)");
	o->json = arg_lit0(NULL, "json", "print JSON");
	o->help = arg_lit0("h", "help", "print this text");
	o->end = arg_end(8);
}

int cmd_parse(struct cmd_options *o, void **table, size_t count,
	      const char *name, const char *summary, int argc, char **argv)
{
	int faults = arg_parse(argc, argv, table);
	char title[64];

	(void)count;
	snprintf(title, sizeof(title), "waxwingctl %s", name);
	if (o->help->count) {
		printf("usage: %s", title);
		arg_print_syntax(stdout, table, "\n");
		printf("%s\n\n", summary);
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		return CMD_DONE;
	}
	if (faults) {
		arg_print_errors(stderr, o->end, title);
		fprintf(stderr, "Try '%s --help'.\n", title);
		return CMD_USAGE;
	}
	return -1;
}

static bool split_address(const char *text, char host[48], uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	size_t len;
	char *end;
	unsigned long n;

	if (!colon)
		return false;
	len = (size_t)(colon - text);
	if (len > 2 && text[0] == '[' && text[len - 1] == ']') {
		text++;
		len -= 2;
	}
	n = strtoul(colon + 1, &end, 10);
	if (!len || len >= 48 || *end || !n || n > 65535)
		return false;
	memcpy(host, text, len);
	host[len] = '\0';
	*port = (uint16_t)n;
	return true;
}

static const char *choose(const struct arg_str *option, const char *variable)
{
	return option->count ? option->sval[0] : getenv(variable);
}

static int exit_for_status(int status)
{
	if (status >= 200 && status < 300)
		return CMD_DONE;
	if (status == 409)
		return CMD_CONFLICT;
	if (status == 422)
		return CMD_INVALID_FILE;
	return CMD_REFUSED;
}

/* Prints the error, and the faults or changes that came with it. */
static void print_refusal(const struct cmd_options *o, int status,
			  const json_t *root)
{
	json_t *item, *list;
	size_t i;

	if (o->json->count && root) {
		cmd_print_json(root);
		return;
	}
	fprintf(stderr, "waxwingctl: %s (%d)\n",
		*cmd_text(root, "error") ? cmd_text(root, "error") : "refused",
		status);
	list = json_object_get(root, "faults");
	json_array_foreach(list, i, item) fprintf(
		stderr, "  line %d, column %d: %s\n",
		(int)cmd_int(item, "line"), (int)cmd_int(item, "column"),
		cmd_text(item, "message"));
	if (json_object_get(root, "revision"))
		fprintf(stderr, "  revision in force: %lld\n",
			(long long)cmd_int(root, "revision"));
	list = json_object_get(root, "changes");
	json_array_foreach(list, i, item)
		fprintf(stderr, "  %s %s %s\n", cmd_text(item, "change"),
			cmd_text(item, "record"), cmd_text(item, "name"));
}

int cmd_call(const struct cmd_options *o, const char *method, const char *path,
	     const void *body, size_t len, int *status, json_t **root)
{
	const char *address = choose(o->operator_address, "WAXWING_OPERATOR");
	const char *token = choose(o->token, "WAXWING_TOKEN");
	struct http_client *client = NULL;
	struct http_response ans = { 0 };
	struct buffer headers = BUFFER_INIT;
	struct http_request req = { .method = method,
				    .path = path,
				    .body = body,
				    .body_len = len,
				    .timeout_us = CALL_TIMEOUT_US,
				    .max_response_bytes = RESPONSE_MAX_BYTES };
	char host[48];
	uint16_t port;
	struct error err;
	int ret = CMD_USAGE;

	*root = NULL;
	*status = 0;
	if (!address || !split_address(address, host, &port)) {
		fprintf(stderr, "waxwingctl: give the entry VM as IP:PORT with "
				"--operator or WAXWING_OPERATOR\n");
		goto out;
	}
	if (!token || !*token || strpbrk(token, "\r\n")) {
		fprintf(stderr, "waxwingctl: give the token with --token or "
				"WAXWING_TOKEN\n");
		goto out;
	}
	buffer_printf(&headers, "Authorization: Bearer %s\r\n", token);
	req.headers = headers.data;
	client = http_client_create(0);
	if (http_call(client, host, port, &req, &ans, &err) < 0) {
		cmd_progress_end();
		fprintf(stderr, "waxwingctl: %s: %s\n", address, err.message);
		ret = CMD_UNREACHABLE;
		goto out;
	}
	cmd_progress_end();
	*status = ans.status;
	*root = json_loadb(ans.body.len ? ans.body.data : "", ans.body.len,
			   JSON_DECODE_ANY, NULL);
	ret = exit_for_status(ans.status);
	if (ret == CMD_DONE && !*root) {
		fprintf(stderr, "waxwingctl: %s: answer is not JSON\n",
			address);
		ret = CMD_UNREACHABLE;
	} else if (ret != CMD_DONE) {
		print_refusal(o, ans.status, *root);
	}
out:
	http_response_free(&ans);
	if (client)
		http_client_destroy(client);
	buffer_free(&headers);
	return ret;
}

static void *show_progress(void *arg)
{
	uint64_t start = clock_now_us();
	bool shown = false;

	(void)arg;
	pthread_mutex_lock(&progress.lock);
	while (!progress.ending) {
		uint64_t passed = clock_now_us() - start;
		struct timespec end;

		if (passed >= PROGRESS_DELAY_US) {
			fprintf(stderr, "\r%s %llu s", progress.label,
				(unsigned long long)(passed / 1000000u));
			fflush(stderr);
			shown = true;
		}
		clock_gettime(CLOCK_REALTIME, &end);
		end.tv_nsec += PROGRESS_INTERVAL_US * 1000;
		if (end.tv_nsec >= 1000000000) {
			end.tv_nsec -= 1000000000;
			end.tv_sec++;
		}
		pthread_cond_timedwait(&progress.wake, &progress.lock, &end);
	}
	if (shown)
		fprintf(stderr, "\r\033[K");
	pthread_mutex_unlock(&progress.lock);
	return NULL;
}

void cmd_progress_begin(const struct cmd_options *o, const char *label)
{
	if (progress.running || o->json->count || !isatty(STDERR_FILENO))
		return;
	snprintf(progress.label, sizeof(progress.label), "%s", label);
	progress.ending = false;
	progress.running =
		!pthread_create(&progress.thread, NULL, show_progress, NULL);
}

void cmd_progress_end(void)
{
	if (!progress.running)
		return;
	pthread_mutex_lock(&progress.lock);
	progress.ending = true;
	pthread_cond_signal(&progress.wake);
	pthread_mutex_unlock(&progress.lock);
	pthread_join(progress.thread, NULL);
	progress.running = false;
}

void cmd_print_json(const json_t *root)
{
	json_dumpf(root, stdout, JSON_COMPACT | JSON_ENCODE_ANY);
	putchar('\n');
}

void cmd_escape(struct buffer *b, const char *text)
{
	for (; *text; text++) {
		unsigned char c = (unsigned char)*text;

		if (isalnum(c) || strchr("-_.~", c))
			buffer_append(b, text, 1);
		else
			buffer_printf(b, "%%%02X", c);
	}
}

int cmd_read_file(const char *path, struct buffer *out)
{
	FILE *f = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char part[8192];
	size_t n;
	int ret = CMD_INVALID_FILE;

	if (!f) {
		fprintf(stderr, "%s:0: %s\n", path, strerror(errno));
		return ret;
	}
	while ((n = fread(part, 1, sizeof(part), f)) > 0 &&
	       out->len <= FILE_MAX_BYTES)
		buffer_append(out, part, n);
	if (ferror(f))
		fprintf(stderr, "%s:0: %s\n", path, strerror(errno));
	else if (out->len > FILE_MAX_BYTES)
		fprintf(stderr, "%s:0: larger than 64 MB\n", path);
	else
		ret = CMD_DONE;
	if (f != stdin)
		fclose(f);
	return ret;
}

const char *cmd_text(const json_t *root, const char *key)
{
	const char *text = json_string_value(json_object_get(root, key));

	return text ? text : "";
}

json_int_t cmd_int(const json_t *root, const char *key)
{
	return json_integer_value(json_object_get(root, key));
}
