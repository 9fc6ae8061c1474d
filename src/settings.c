#include <ctype.h>
#include <errno.h>
#include <ini.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "buffer.h"
#include "settings-internal.h"

#define FILE_MAX_BYTES (1024u * 1024u)

static const char *const dialect_names[] = { "consul", "kv", NULL };
static const char *const discovery_names[] = { "all", "seeds", NULL };
static const char *const routing_names[] = { "least-latency", "random", NULL };
static const char *const admission_names[] = { "fair", "fifo", NULL };
static const char *const placement_names[] = { "learned", "first-fit",
					       "threshold", NULL };
static const char *const overload_names[] = { "deadline", "least_cost", NULL };
static const char *const slow_workers_names[] = { "ignore", "avoid", NULL };
static const char *const switch_names[] = { "off", "on", NULL };
static const char *const level_names[] = { "debug", "info", "warning", "error",
					   NULL };

static const char *const section_names[] = { "node",  "front",	  "operator",
					     "peers", "platform", "policy",
					     "jobs",  "clients",  "log" };
#define SECTIONS (sizeof(section_names) / sizeof(section_names[0]))

/* 4 lines per task start at 240 task starts/s, see docs/CAPACITY.md. */
#define LOG_LINES_PER_S 1000

#define FIELD(field) offsetof(struct settings, field)
#define SECOND_US 1000000u
#define MINUTE_US 60000000u
/*
 * Starts stop once the view of the evacuated zones is older than the bound less
 * 2 s; a watch and its repetition on a new connection take up to 2 s.
 */
#define EVACUATION_BOUND_MIN_US (4u * SECOND_US)

/*
 * The minimum platform lease is 1 s because heartbeats are sent every 500 ms:
 * with a shorter lease, a single lost message would let it expire. The minimum
 * outage horizon is the task lease (10 s), which it extends.
 */
static const struct settings_entry entries[] = {
	{ "node", "id", VALUE_NAME, FIELD(node.id), 0, 0, REQUIRED_ALWAYS,
	  NULL },
	{ "node", "availability_zone", VALUE_NAME,
	  FIELD(node.availability_zone), 0, 0, REQUIRED_ALWAYS, NULL },
	{ "node", "deployment", VALUE_NAME, FIELD(node.deployment), 0, 0,
	  REQUIRED_ALWAYS, NULL },
	{ "node", "cpu", VALUE_CORES, FIELD(node.cpu_milli), 10, 1024000, 0,
	  NULL },
	{ "front", "listen", VALUE_ADDRESS, FIELD(front.listen), 0, 0,
	  REQUIRED_ALWAYS, NULL },
	{ "front", "threads", VALUE_COUNT, FIELD(front.threads), 2, 4096, 0,
	  NULL },
	{ "front", "body_limit", VALUE_BYTES, FIELD(front.body_limit_bytes), 1,
	  64u << 20, 0, NULL },
	{ "front", "queue_limit", VALUE_COUNT, FIELD(front.queue_limit), 1,
	  4096, 0, NULL },
	{ "operator", "listen", VALUE_ADDRESS, FIELD(operator.listen), 0, 0,
	  REQUIRED_CONSUL, NULL },
	{ "operator", "token", VALUE_TOKEN, FIELD(operator.token), 0, 0,
	  REQUIRED_CONSUL, NULL },
	{ "peers", "listen", VALUE_ADDRESS, FIELD(peers.listen), 0, 0,
	  REQUIRED_CONSUL, NULL },
	{ "peers", "seeds", VALUE_SEEDS, FIELD(peers.seeds), 0, 0, 0, NULL },
	{ "peers", "discovery", VALUE_CHOICE, FIELD(peers.discovery), 0, 0, 0,
	  discovery_names },
	{ "peers", "curve_public", VALUE_CURVE_KEY, FIELD(peers.curve_public),
	  0, 0, REQUIRED_CONSUL, NULL },
	{ "peers", "curve_secret", VALUE_CURVE_KEY, FIELD(peers.curve_secret),
	  0, 0, REQUIRED_CONSUL, NULL },
	{ "platform", "address", VALUE_ADDRESS, FIELD(platform.address), 0, 0,
	  REQUIRED_ALWAYS, NULL },
	{ "platform", "dialect", VALUE_CHOICE, FIELD(platform.dialect), 0, 0, 0,
	  dialect_names },
	{ "platform", "lease", VALUE_TIME, FIELD(platform.lease_us), SECOND_US,
	  MINUTE_US, 0, NULL },
	{ "platform", "write_budget", VALUE_COUNT, FIELD(platform.write_budget),
	  1, 1000000, 0, NULL },
	{ "platform", "read_budget", VALUE_COUNT, FIELD(platform.read_budget),
	  1, 1000000, 0, NULL },
	{ "policy", "routing", VALUE_CHOICE, FIELD(policy.routing), 0, 0, 0,
	  routing_names },
	{ "policy", "admission", VALUE_CHOICE, FIELD(policy.admission), 0, 0, 0,
	  admission_names },
	{ "policy", "placement", VALUE_CHOICE, FIELD(policy.placement), 0, 0, 0,
	  placement_names },
	{ "policy", "retry_budget", VALUE_PERCENT,
	  FIELD(policy.retry_budget_percent), 0, 100, 0, NULL },
	{ "policy", "outage_horizon", VALUE_TIME,
	  FIELD(policy.outage_horizon_us), 10u * SECOND_US, 1440ull * MINUTE_US,
	  0, NULL },
	{ "policy", "overload", VALUE_CHOICE, FIELD(policy.overload), 0, 0, 0,
	  overload_names },
	{ "policy", "slow_workers", VALUE_CHOICE, FIELD(policy.slow_workers), 0,
	  0, 0, slow_workers_names },
	{ "policy", "refuse_hopeless", VALUE_CHOICE,
	  FIELD(policy.refuse_hopeless), 0, 0, 0, switch_names },
	{ "jobs", "readiness", VALUE_ADDRESS, FIELD(jobs.readiness), 0, 0,
	  REQUIRED_KV, NULL },
	{ "jobs", "peers", VALUE_ADDRESS, FIELD(jobs.peers), 0, 0, REQUIRED_KV,
	  NULL },
	{ "jobs", "relays", VALUE_ADDRESS, FIELD(jobs.relays), 0, 0, 0, NULL },
	{ "jobs", "metrics", VALUE_ADDRESS, FIELD(jobs.metrics), 0, 0, 0,
	  NULL },
	{ "jobs", "lease_max", VALUE_TIME, FIELD(jobs.lease_max_us), SECOND_US,
	  MINUTE_US, 0, NULL },
	{ "jobs", "status_keep", VALUE_TIME, FIELD(jobs.status_keep_us),
	  SECOND_US, 1440ull * MINUTE_US, 0, NULL },
	{ "jobs", "stop_grace", VALUE_TIME, FIELD(jobs.stop_grace_us),
	  SECOND_US, MINUTE_US, 0, NULL },
	{ "clients", "memory", VALUE_BYTES, FIELD(clients.memory_bytes),
	  1u << 20, 1u << 30, 0, NULL },
	{ "clients", "connection_memory", VALUE_BYTES,
	  FIELD(clients.connection_memory_bytes), 64u << 10, 64u << 20, 0,
	  NULL },
	{ "clients", "connections", VALUE_COUNT, FIELD(clients.connections), 8,
	  100000, 0, NULL },
	{ "clients", "internal_connections", VALUE_COUNT,
	  FIELD(clients.internal_connections), 8, 100000, 0, NULL },
	{ "jobs", "evacuation_bound", VALUE_TIME,
	  FIELD(jobs.evacuation_bound_us), 0, MINUTE_US, 0, NULL },
	{ "jobs", "memory", VALUE_BYTES, FIELD(jobs.memory_bytes), 64u << 10,
	  1u << 30, 0, NULL },
	{ "log", "level", VALUE_CHOICE, FIELD(log_level), 0, 0, 0,
	  level_names },
	{ "log", "lines_per_second", VALUE_COUNT, FIELD(log_lines_per_s), 10,
	  1000000, 0, NULL },
};
#define ENTRIES (sizeof(entries) / sizeof(entries[0]))

static int find_section(const char *name, size_t len);
static int find_entry(const char *section, const char *name);
static int on_key(void *arg, const char *section, const char *name,
		  const char *value);
static char *read_line(char *out, int size, void *stream);
static void check_previous_line(struct settings_parser *p);
static void check_section(struct settings_parser *p, const char *line);
static void check_required(struct settings_parser *p);
static void check_addresses(struct settings_parser *p);
static void check_consistency(struct settings_parser *p);
static char *read_file(const char *path, size_t *len, struct error *err);

void settings_report_error(struct settings_parser *p, int line, const char *fmt,
			   ...)
{
	char message[ERROR_MESSAGE_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);
	p->error_count++;
	if (p->fn)
		p->fn(p->arg, p->path, line, message);
}

static int find_section(const char *name, size_t len)
{
	for (size_t i = 0; i < SECTIONS; i++)
		if (strlen(section_names[i]) == len &&
		    !memcmp(section_names[i], name, len))
			return (int)i;
	return -1;
}

static int find_entry(const char *section, const char *name)
{
	for (size_t i = 0; i < ENTRIES; i++)
		if (!strcmp(entries[i].section, section) &&
		    !strcmp(entries[i].name, name))
			return (int)i;
	return -1;
}

/* Key handler for inih. Only seeds may continue on an indented line. */
static int on_key(void *arg, const char *section, const char *name,
		  const char *value)
{
	struct settings_parser *p = arg;
	int i;

	p->key_handled = true;
	if (p->skip_section)
		return 1;
	if (!*section) {
		settings_report_error(p, p->line,
				      "key \"%s\" before any section", name);
		return 1;
	}
	i = find_entry(section, name);
	if (i < 0) {
		settings_report_error(p, p->line, "unknown key \"%s\" in [%s]",
				      name, section);
		return 1;
	}
	if (p->is_continuation && entries[i].type != VALUE_SEEDS) {
		settings_report_error(p, p->line,
				      "unexpected indented line after \"%s\"",
				      name);
		return 1;
	}
	if (p->entry_lines[i] && !p->is_continuation) {
		settings_report_error(p, p->line,
				      "\"%s\" was already given in line %d",
				      name, p->entry_lines[i]);
		return 1;
	}
	p->entry_lines[i] = p->line;
	settings_set_value(p, &entries[i], value);
	return 1;
}

/* Reports the previous line if inih could not parse it. */
static void check_previous_line(struct settings_parser *p)
{
	if (p->expect_key && !p->key_handled)
		settings_report_error(
			p, p->line,
			"neither \"[section]\" nor \"key = value\"");
	p->expect_key = false;
	p->key_handled = false;
}

static void check_section(struct settings_parser *p, const char *line)
{
	const char *end = strchr(line, ']');
	int i;

	p->skip_section = true;
	if (!end) {
		settings_report_error(p, p->line,
				      "section header without \"]\"");
		return;
	}
	i = find_section(line + 1, (size_t)(end - line - 1));
	if (i < 0) {
		settings_report_error(
			p, p->line, "unknown section %.*s",
			(int)(end - line + 1 > 60 ? 60 : end - line + 1), line);
		return;
	}
	end++;
	end += strspn(end, " \t\r");
	if (*end && *end != ';')
		settings_report_error(p, p->line, "unexpected text after [%s]",
				      section_names[i]);
	if (p->section_lines[i])
		settings_report_error(
			p, p->line, "section [%s] was already given in line %d",
			section_names[i], p->section_lines[i]);
	p->section_lines[i] = p->line;
	p->skip_section = false;
}

/*
 * Line reader for inih. Counts lines, because inih does not pass the line
 * number to the handler. An invalid line is reported and replaced by an empty
 * one, so that parsing continues.
 */
static char *read_line(char *out, int size, void *stream)
{
	struct settings_parser *p = stream;
	const char *line = p->text + p->pos;
	const char *end;
	const char *start;
	size_t len;

	check_previous_line(p);
	if (p->pos == p->len)
		return NULL;
	p->line++;
	end = memchr(line, '\n', p->len - p->pos);
	len = end ? (size_t)(end - line) : p->len - p->pos;
	p->pos += len + (end ? 1 : 0);
	out[0] = '\0';
	if (len + 2 > (size_t)size) {
		settings_report_error(p, p->line, "line of more than %d bytes",
				      size - 2);
	} else if (memchr(line, '\0', len)) {
		settings_report_error(p, p->line, "NUL byte");
	} else {
		memcpy(out, line, len);
		out[len] = '\0';
	}
	start = out;
	if (p->line == 1 && !strncmp(start, "\xef\xbb\xbf", 3))
		start += 3;
	p->is_continuation = isspace((unsigned char)*start) != 0;
	start += strspn(start, " \t\r\f\v");
	if (*start == '[' && !p->is_continuation)
		check_section(p, start);
	else
		p->expect_key = *start && !strchr(";#", *start);
	return out;
}

static void check_required(struct settings_parser *p)
{
	for (size_t i = 0; i < ENTRIES; i++) {
		const struct settings_entry *e = &entries[i];
		int section = find_section(e->section, strlen(e->section));
		int line = p->section_lines[section];

		if (!(e->required & 1u << p->s->platform.dialect) ||
		    p->entry_lines[i])
			continue;
		settings_report_error(p,
				      line	? line
				      : p->line ? p->line
						: 1,
				      "missing key \"%s\" in [%s]", e->name,
				      e->section);
	}
}

/* Returns whether a process cannot listen on both addresses at once. */
static bool addresses_conflict(const struct settings_address *a,
			       const struct settings_address *b)
{
	if (a->port != b->port)
		return false;
	return !strcmp(a->host, b->host) || !strcmp(a->host, "0.0.0.0") ||
	       !strcmp(b->host, "0.0.0.0") || !strcmp(a->host, "::") ||
	       !strcmp(b->host, "::");
}

static void check_addresses(struct settings_parser *p)
{
	static const char *const sections[] = { "front", "operator", "peers" };
	const struct settings_address *listen[] = { &p->s->front.listen,
						    &p->s->operator.listen,
						    &p->s->peers.listen };
	int lines[3];

	for (int i = 0; i < 3; i++)
		lines[i] = p->entry_lines[find_entry(sections[i], "listen")];
	for (int i = 1; i < 3; i++)
		for (int j = 0; j < i; j++)
			if (lines[i] && lines[j] &&
			    addresses_conflict(listen[i], listen[j]))
				settings_report_error(
					p, lines[i],
					"listen address of [%s] conflicts with [%s]",
					sections[i], sections[j]);
	if (lines[2] && (!strcmp(listen[2]->host, "0.0.0.0") ||
			 !strcmp(listen[2]->host, "::")))
		settings_report_error(
			p, lines[2],
			"listen of [peers] must be an address that peers can reach");
}

/* Checks constraints between keys; requires that each key is valid. */
static void check_consistency(struct settings_parser *p)
{
	int queue = p->entry_lines[find_entry("front", "queue_limit")];
	int threads = p->entry_lines[find_entry("front", "threads")];
	int key = p->entry_lines[find_entry("peers", "curve_secret")];
	int bound = p->entry_lines[find_entry("jobs", "evacuation_bound")];
	char public_key[CURVE_KEY_CHARS + 1];

	if (p->s->jobs.evacuation_bound_us &&
	    p->s->jobs.evacuation_bound_us < EVACUATION_BOUND_MIN_US)
		settings_report_error(
			p, bound,
			"evacuation_bound is neither 0 nor at least %u s",
			EVACUATION_BOUND_MIN_US / SECOND_US);
	if (p->s->platform.dialect == DIALECT_KV)
		return;
	check_addresses(p);
	/* A queued request occupies an HTTP server thread. */
	if (p->s->front.queue_limit > p->s->front.threads)
		settings_report_error(p, queue ? queue : threads,
				      "queue_limit %u exceeds threads %u",
				      p->s->front.queue_limit,
				      p->s->front.threads);
	if (zmq_curve_public(public_key, p->s->peers.curve_secret) < 0 ||
	    strcmp(public_key, p->s->peers.curve_public))
		settings_report_error(
			p, key, "curve_secret does not match curve_public");
}

static char *read_file(const char *path, size_t *len, struct error *err)
{
	struct buffer b = BUFFER_INIT;
	char chunk[4096];
	FILE *f = fopen(path, "r");
	size_t n;
	int failed;

	if (!f) {
		error_set(err, ERROR_LAYER_SETTINGS, SETTINGS_UNREADABLE,
			  "%s:0: %s", path, strerror(errno));
		return NULL;
	}
	while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0 &&
	       b.len <= FILE_MAX_BYTES)
		buffer_append(&b, chunk, n);
	failed = ferror(f);
	fclose(f);
	if (failed || b.len > FILE_MAX_BYTES) {
		error_set(err, ERROR_LAYER_SETTINGS, SETTINGS_UNREADABLE,
			  "%s:0: %s", path,
			  failed ? "cannot be read" : "larger than 1 MB");
		buffer_free(&b);
		return NULL;
	}
	return buffer_detach(&b, len);
}

void settings_defaults(struct settings *s)
{
	memset(s, 0, sizeof(*s));
	s->node.cpu_milli = 1000;
	s->front.threads = 256;
	s->front.body_limit_bytes = 256u * 1024u;
	s->front.queue_limit = 192;
	s->platform.lease_us = 3u * SECOND_US;
	s->platform.write_budget = 300;
	s->platform.read_budget = 1500;
	s->policy.retry_budget_percent = 10;
	s->policy.outage_horizon_us = 15u * MINUTE_US;
	s->jobs.lease_max_us = 6u * SECOND_US;
	s->jobs.status_keep_us = 2u * MINUTE_US;
	s->jobs.stop_grace_us = 5u * SECOND_US;
	s->jobs.memory_bytes = 16u << 20;
	s->clients.memory_bytes = 32u << 20;
	s->clients.connection_memory_bytes = 1088u << 10;
	s->clients.connections = 1024;
	s->clients.internal_connections = 2048;
	s->log_level = LOG_INFO;
	s->log_lines_per_s = LOG_LINES_PER_S;
}

int settings_check(const char *path, struct settings *s, settings_error_fn *fn,
		   void *arg)
{
	int entry_lines[ENTRIES] = { 0 };
	int section_lines[SECTIONS] = { 0 };
	struct settings parsed;
	struct settings_parser p = { .s = &parsed,
				     .path = path,
				     .fn = fn,
				     .arg = arg,
				     .entry_lines = entry_lines,
				     .section_lines = section_lines };
	struct error err;
	char *text = read_file(path, &p.len, &err);

	settings_defaults(&parsed);
	if (!text) {
		settings_report_error(&p, 0, "%s",
				      err.message + strlen(path) + 4);
		return p.error_count;
	}
	/* The default line buffer of inih (200 bytes) is too short for seeds.
	 */
	ini_use_stack = false;
	ini_max_line = SETTINGS_LINE_MAX_BYTES;
	ini_initial_alloc = SETTINGS_LINE_MAX_BYTES;
	p.text = text;
	if (ini_parse_stream(read_line, &p, on_key, &p) == -2)
		settings_report_error(&p, 0, "out of memory");
	check_required(&p);
	if (!p.error_count)
		check_consistency(&p);
	if (!p.error_count)
		*s = parsed;
	free(text);
	return p.error_count;
}

/* Stores the first error for settings_load(). */
static void store_first_error(void *arg, const char *file, int line,
			      const char *message)
{
	struct error *err = arg;

	if (!err->code)
		error_set(err, ERROR_LAYER_SETTINGS, SETTINGS_INVALID,
			  "%s:%d: %s", file, line, message);
}

int settings_load(const char *path, struct settings *s, struct error *err)
{
	error_clear(err);
	return settings_check(path, s, store_first_error, err) ? -1 : 0;
}

void settings_compare(const struct settings *a, const struct settings *b,
		      void (*fn)(void *arg, const char *section,
				 const char *key),
		      void *arg)
{
	for (size_t i = 0; i < ENTRIES; i++) {
		const struct settings_entry *e = &entries[i];

		if (memcmp((const char *)a + e->offset,
			   (const char *)b + e->offset, settings_field_size(e)))
			fn(arg, e->section, e->name);
	}
}
