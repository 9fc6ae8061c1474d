#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <netinet/in.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clock.h"
#include "event-http.h"
#include "standin-3.h"

#define READY_TIMEOUT_MS 20000u
#define REQUEST_TIMEOUT_MS 3000u
#define BEAT_MS 1000
/* A script may take 120 s. */
#define RUN_MAX_S 115

enum port {
	STORE,
	WORKERS = 1,
	FRONT = 20,
	READINESS = 30,
	PEERS = 40,
	RELAYS = 50,
	METRICS = 60,
	PORTS = 70
};

static uint16_t port_of(const struct case_run *r, enum port p, uint32_t i)
{
	return (uint16_t)(r->port + p + i);
}

uint16_t case_worker_port(const struct case_run *r, uint32_t worker)
{
	return port_of(r, WORKERS, worker);
}

uint64_t case_ms(const struct case_run *r)
{
	return (clock_now_us() - r->start_us) / 1000;
}

void case_log(struct case_run *r, const char *fmt, ...)
{
	va_list ap;

	fprintf(r->record, "%8.3f ", (double)case_ms(r) / 1000);
	va_start(ap, fmt);
	vfprintf(r->record, fmt, ap);
	va_end(ap);
	fputc('\n', r->record);
	fflush(r->record);
}

void case_run_loop(struct case_run *r, uint32_t ms)
{
	struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };

	event_base_loopexit(r->base, &tv);
	event_base_dispatch(r->base);
}

/* ---- platform ---- */

static void on_task_started(void *arg, const struct platform_start *start)
{
	case_log(arg, "worker starts task=%s late=%d", start->task,
		 start->late);
}

static void on_task_ended(void *arg, const char *task, const char *reason)
{
	case_log(arg, "worker's run of task=%s is over: %s", task, reason);
}

/* Ports below the ephemeral range that nothing uses. */
static bool port_is_free(uint16_t port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0), one = 1;
	bool free;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	free = !bind(fd, (struct sockaddr *)&a, sizeof(a));
	close(fd);
	return free;
}

static uint16_t choose_ports(void)
{
	uint32_t slot = (uint32_t)getpid();

	for (int i = 0; i < 200; i++, slot++) {
		uint16_t first = (uint16_t)(12000 + slot % 250 * PORTS);
		int n = 0;

		while (n < PORTS && port_is_free((uint16_t)(first + n)))
			n++;
		if (n == PORTS)
			return first;
	}
	return 0;
}

int case_open(struct case_run *r, const char *record, const char *config)
{
	const struct platform_hooks hooks = { .started = on_task_started,
					      .ended = on_task_ended,
					      .arg = r };
	const char *trouble = getenv("TROUBLE");

	signal(SIGPIPE, SIG_IGN);
	r->start_us = clock_now_us();
	r->trouble = !trouble || strcmp(trouble, "0") != 0;
	r->record = fopen(record, "w");
	if (!r->record)
		return -1;
	r->port = choose_ports();
	strcpy(r->folder, "/tmp/waxwing-review-XXXXXX");
	if (!r->port || !mkdtemp(r->folder))
		return -1;
	r->base = event_base_new();
	r->platform = jobs_platform_create(r->base, port_of(r, STORE, 0));
	jobs_platform_set_hooks(r->platform, &hooks);
	jobs_platform_put(r->platform, "op/config", config);
	case_log(r, "operator writes op/config %s", config);
	return 0;
}

/* Workers write their entries about once a second. */
static void on_beat(evutil_socket_t fd, short what, void *arg)
{
	struct case_run *r = arg;

	(void)fd;
	(void)what;
	for (uint32_t i = 0; i < r->workers && !r->own_entries; i++)
		if (r->platform->workers[i]->life != SIM_DOWN)
			jobs_platform_set_cold(r->platform, (int)i, 0);
}

void case_add_workers(struct case_run *r, uint32_t count, uint32_t task_ms)
{
	static const struct timeval interval = { BEAT_MS / 1000, 0 };

	for (uint32_t i = 0; i < count; i++) {
		uint16_t port = port_of(r, WORKERS, r->workers++);

		r->platform
			->workers[jobs_platform_add_worker(r->platform, port,
							   port, task_ms)]
			->born_ms = clock_wall_us() / 1000;
	}
	on_beat(-1, 0, r);
	event_add(event_new(r->base, -1, EV_PERSIST, on_beat, r), &interval);
}

/* The time of its start is that of the clock; the platform adds 1 ms. */
void case_restart_worker(struct case_run *r, uint32_t worker)
{
	case_log(r, "worker %u starts again under its id", worker);
	r->platform->workers[worker]->born_ms = clock_wall_us() / 1000 - 1;
	jobs_platform_restart_worker(r->platform, (int)worker, false);
}

/* ---- entry VMs ---- */

/* As deploy/waxwingd.conf.in renders it. */
static void write_settings(struct case_run *r, uint32_t i, const char *path)
{
	FILE *f = fopen(path, "w");

	fprintf(f,
		"[node]\nid = front-%u\navailability_zone = z\n"
		"deployment = jobs\ncpu = 0.25\n\n[front]\n"
		"listen = 127.0.0.1:%u\n\n[platform]\ndialect = kv\n"
		"address = 127.0.0.1:%u\n\n[jobs]\n"
		"readiness = 127.0.0.1:%u\npeers = 127.0.0.1:%u\n"
		"relays = 127.0.0.1:%u\nmetrics = 127.0.0.1:%u\n"
		"lease_max = 6000 ms\nstatus_keep = 120 s\n"
		"stop_grace = 6 s\n",
		i, port_of(r, FRONT, i), port_of(r, STORE, 0),
		port_of(r, READINESS, i), port_of(r, PEERS, i),
		port_of(r, RELAYS, i), port_of(r, METRICS, i));
	if (r->evacuation_ms)
		fprintf(f, "evacuation_bound = %u ms\n", r->evacuation_ms);
	fprintf(f, "\n[log]\nlevel = info\n");
	fclose(f);
}

void case_start_entry(struct case_run *r, uint32_t i)
{
	char conf[128], out[128];
	const char *argv[] = { "target/waxwingd", "-c", conf, NULL };
	const char *envp[] = { "PATH=/usr/bin:/bin", NULL };
	posix_spawn_file_actions_t fa;

	snprintf(conf, sizeof(conf), "%s/front-%u.conf", r->folder, i);
	snprintf(out, sizeof(out), "%s/front-%u.log", r->folder, i);
	write_settings(r, i, conf);
	posix_spawn_file_actions_init(&fa);
	posix_spawn_file_actions_addopen(&fa, 0, "/dev/null", O_RDONLY, 0);
	posix_spawn_file_actions_addopen(&fa, 1, out,
					 O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&fa, 1, 2);
	if (posix_spawn(&r->entries[i], argv[0], &fa, NULL, (char **)argv,
			(char **)envp))
		r->entries[i] = 0;
	posix_spawn_file_actions_destroy(&fa);
	case_log(r, "front-%u is started, pid %d", i, (int)r->entries[i]);
}

static void on_reply(void *arg, const struct event_http_response *a)
{
	struct case_run *r = arg;

	r->status = a->outcome == EVENT_HTTP_RESPONDED ? a->status : -1;
	snprintf(r->body, sizeof(r->body), "%s",
		 a->outcome == EVENT_HTTP_RESPONDED && a->body ? a->body : "");
}

static int call(struct case_run *r, uint16_t port, const char *method,
		const char *path, const char *body)
{
	struct http_conn *c = http_conn_create(r->base, "127.0.0.1", port);

	r->status = 0;
	r->body[0] = '\0';
	http_conn_call(c, method, path, NULL, body, body ? strlen(body) : 0,
		       REQUEST_TIMEOUT_MS, on_reply, r);
	for (uint32_t i = 0; !r->status && i < REQUEST_TIMEOUT_MS / 5; i++)
		case_run_loop(r, 5);
	if (!r->status)
		r->status = -1;
	http_conn_free(c);
	case_run_loop(r, 1);
	return r->status;
}

int case_request(struct case_run *r, uint32_t entry, const char *method,
		 const char *path, const char *body)
{
	int status = call(r, port_of(r, FRONT, entry), method, path, body);

	case_log(r, "client %s %s at front-%u: %d %s", method, path, entry,
		 status, r->body);
	if (body)
		case_log(r, "  body %.300s", body);
	return status;
}

bool case_body_has(const struct case_run *r, const char *text)
{
	return strstr(r->body, text) != NULL;
}

int case_start(struct case_run *r, uint32_t entries)
{
	uint64_t end;

	r->entry_count = entries;
	for (uint32_t i = 0; i < entries; i++)
		case_start_entry(r, i);
	end = case_ms(r) + READY_TIMEOUT_MS;
	for (uint32_t i = 0; i < entries;) {
		if (r->entries[i] &&
		    call(r, port_of(r, READINESS, i), "GET",
			 "/waxwingflow/readiness", NULL) == 200)
			i++;
		else if (case_ms(r) > end)
			return -1;
		else
			case_run_loop(r, 100);
	}
	/* The owner reads the list of workers and their reports. */
	case_run_loop(r, 1500);
	return 0;
}

uint64_t case_peak_kb(pid_t pid)
{
	char path[64], line[128];
	unsigned long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f))
		if (sscanf(line, "VmHWM: %lu", &kb) == 1)
			break;
	if (f)
		fclose(f);
	return kb;
}

void case_close(struct case_run *r)
{
	const char *keep = getenv("KEEP_LOGS");
	char path[160];

	for (uint32_t i = 0; i < CASE_ENTRIES_MAX; i++) {
		if (r->entries[i] > 0) {
			kill(r->entries[i], SIGKILL);
			waitpid(r->entries[i], NULL, 0);
		}
		if (keep)
			continue;
		snprintf(path, sizeof(path), "%s/front-%u.conf", r->folder, i);
		unlink(path);
		snprintf(path, sizeof(path), "%s/front-%u.log", r->folder, i);
		unlink(path);
	}
	if (keep)
		fprintf(stderr, "logs: %s\n", r->folder);
	else
		rmdir(r->folder);
	if (r->record)
		fclose(r->record);
}

static struct case_run *current;

/* Ends the processes that were started; the case has not run. */
static void on_end(int sig)
{
	(void)sig;
	for (uint32_t i = 0; i < CASE_ENTRIES_MAX; i++)
		if (current->entries[i] > 0)
			kill(current->entries[i], SIGKILL);
	_exit(CASE_NOT_RUN);
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		int (*run)(struct case_run *r);
	} cases[] = {
		{ "batch", case_batch },     /* 11 */
		{ "memory", case_memory },   /* 12 */
		{ "release", case_release }, /* 13 */
		{ "deadly", case_deadly },   /* 14 */
		{ "kind", case_kind },	     /* 15 */
	};
	struct case_run r = { .status = 0 };
	int result = CASE_NOT_RUN;

	if (argc != 3)
		return CASE_NOT_RUN;
	current = &r;
	signal(SIGABRT, on_end);
	signal(SIGALRM, on_end);
	signal(SIGINT, on_end);
	signal(SIGTERM, on_end);
	alarm(RUN_MAX_S);
	if (setenv("CASE_RECORD", argv[2], 1))
		return CASE_NOT_RUN;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		if (!strcmp(cases[i].name, argv[1]))
			result = cases[i].run(&r);
	case_close(&r);
	return result;
}
