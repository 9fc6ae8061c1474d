#include <argtable2.h>
#include <civetweb.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <zmq.h>

#include "clock.h"
#include "jobd.h"
#include "kernel.h"
#include "log.h"
#include "settings-reload.h"
#include "settings.h"
#include "svc-config.h"
#include "svc-flow.h"
#include "svc-loop.h"
#include "svc-members.h"
#include "svc-operator.h"
#include "svc-owner.h"
#include "svc-peers.h"
#include "svc-placement.h"
#include "svc-store.h"
#include "svc-targets.h"
#include "version.h"

#define EXIT_OK 0
#define EXIT_FAILED 1
#define EXIT_USAGE 2
/* Longest request deadline, plus time to send the response. */
#define DRAIN_REQUESTS_TIMEOUT_US 32000000u
/* Releasing the seat needs the store, which may be unavailable. */
#define DRAIN_SEAT_TIMEOUT_US 3000000u
#define DRAIN_POLL_US 20000u

typedef struct service *service_create_fn(const struct settings *s);

static struct service *create_loop(const struct settings *s);
static void print_fault(void *arg, const char *file, int line,
			const char *message);
static int check_settings_file(const char *path);
static int print_key_pair(void);
static int register_services(struct kernel *k, const struct settings *s,
			     struct error *err);
static void block_signals(sigset_t *set);
static int wait_signal(const sigset_t *set, uint64_t timeout_us);
static void reload_settings(struct kernel *k, const char *path,
			    struct settings *s);
static void drain(struct kernel *k, const sigset_t *set);
static void warn_permissive_mode(const char *path);
static int run(const char *path);

/*
 * Services start in this order and stop in reverse order. Placement registers
 * as a client of the owner's logs, so it must start before the owner reads
 * them.
 */
static service_create_fn *const services[] = {
	create_loop,	store_create,	 peers_create,	 members_create,
	targets_create, config_create,	 workers_create, placement_create,
	owner_create,	flow_svc_create, front_create,	 operator_create,
};

static struct service *create_loop(const struct settings *s)
{
	(void)s;
	return loop_create();
}

static void print_fault(void *arg, const char *file, int line,
			const char *message)
{
	(void)arg;
	fprintf(stderr, "%s:%d: %s\n", file, line, message);
}

static int check_settings_file(const char *path)
{
	struct settings s;
	int faults = settings_check(path, &s, print_fault, NULL);

	if (!faults)
		printf("%s: good\n", path);
	return faults ? EXIT_FAILED : EXIT_OK;
}

static int print_key_pair(void)
{
	char public_key[41], secret_key[41];

	if (zmq_curve_keypair(public_key, secret_key) < 0) {
		fprintf(stderr, "waxwingd: %s\n", zmq_strerror(zmq_errno()));
		return EXIT_FAILED;
	}
	printf("curve_public = %s\ncurve_secret = %s\n", public_key,
	       secret_key);
	return EXIT_OK;
}

static int register_services(struct kernel *k, const struct settings *s,
			     struct error *err)
{
	for (size_t i = 0; i < sizeof(services) / sizeof(services[0]); i++) {
		struct service *svc = services[i](s);

		if (svc && kernel_register(k, svc, err) < 0)
			return -1;
	}
	return 0;
}

/* Threads created later inherit the signal mask. */
static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/* Returns the next pending signal, or 0 on timeout. */
static int wait_signal(const sigset_t *set, uint64_t timeout_us)
{
	struct timespec ts = { .tv_sec = (time_t)(timeout_us / 1000000u),
			       .tv_nsec =
				       (long)(timeout_us % 1000000u) * 1000 };
	int sig;

	do {
		sig = sigtimedwait(set, NULL, &ts);
	} while (sig < 0 && errno == EINTR);
	return sig < 0 ? 0 : sig;
}

/* Keys that SIGHUP applies in addition to [log]. */
static const struct settings_key reloadable_keys[] = {
	{ "operator", "token" },
	{ "policy", "routing" },
	{ "policy", "admission" },
	{ "policy", "retry_budget" },
};

struct reload_call {
	struct settings *running;
	const struct settings *updated;
};

/* Runs on the control thread, as do all readers of the policy. */
static void apply_policy(void *arg)
{
	struct reload_call *c = arg;

	c->running->policy.routing = c->updated->policy.routing;
	c->running->policy.admission = c->updated->policy.admission;
	c->running->policy.retry_budget_percent =
		c->updated->policy.retry_budget_percent;
}

static void reload_settings(struct kernel *k, const char *path,
			    struct settings *s)
{
	struct settings updated;
	struct reload_call c = { .running = s, .updated = &updated };

	if (settings_reload(path, s, reloadable_keys,
			    sizeof(reloadable_keys) /
				    sizeof(reloadable_keys[0]),
			    &updated) < 0)
		return;
	loop_call(loop_find(k), apply_policy, &c);
	operator_set_token(operator_find(k), updated.operator.token);
}

/*
 * Waits for requests in flight to complete, then for the seat to be released.
 * SIGTERM skips the rest of the wait.
 */
static void drain(struct kernel *k, const sigset_t *set)
{
	struct flow_svc *f = kernel_find(k, "flow") ? flow_svc_find(k) : NULL;
	uint64_t end = clock_now_us() + DRAIN_REQUESTS_TIMEOUT_US;
	uint32_t remaining;

	log_event(LOG_INFO, "drain-begin", "in_flight=%u",
		  f ? flow_in_flight(f) : 0);
	kernel_drain(k);
	while (f && flow_in_flight(f) && clock_now_us() < end)
		if (wait_signal(set, DRAIN_POLL_US) == SIGTERM)
			return;
	remaining = f ? flow_in_flight(f) : 0;
	end = clock_now_us() + DRAIN_SEAT_TIMEOUT_US;
	while (!members_seat_released(members_find(k)) && clock_now_us() < end)
		if (wait_signal(set, DRAIN_POLL_US) == SIGTERM)
			return;
	log_event(remaining ? LOG_WARNING : LOG_INFO, "drain-end",
		  "in_flight=%u seat_left=%d", remaining,
		  members_seat_released(members_find(k)));
}

/* The file contains the deployment's secret key and the operator token. */
static void warn_permissive_mode(const char *path)
{
	struct stat st;

	if (!stat(path, &st) && (st.st_mode & (S_IRWXG | S_IRWXO)))
		log_event(LOG_WARNING, "settings-readable",
			  "file=%s mode=%03o reason=\"secret key accessible "
			  "to other users\"",
			  path, (unsigned)st.st_mode & 0777u);
}

static int run(const char *path)
{
	struct settings s;
	struct kernel *k = NULL;
	struct error err;
	sigset_t set;
	int sig, ret = EXIT_FAILED;

	/* Signals that arrive during startup stay pending until handled. */
	block_signals(&set);
	if (settings_check(path, &s, print_fault, NULL))
		return EXIT_FAILED;
	log_set_node(s.node.id);
	log_set_level(s.log_level);
	log_set_rate_limit(s.log_lines_per_s);
	if (s.platform.dialect == DIALECT_KV)
		return jobd_run(&s, path, &set);
	warn_permissive_mode(path);
	mg_init_library(0);
	k = kernel_create();
	if (register_services(k, &s, &err) < 0 || kernel_start(k, &err) < 0) {
		log_event(LOG_ERROR, "start-failed", "error=\"%s\"",
			  err.message);
		goto out;
	}
	log_event(LOG_INFO, "started", "version=%s zone=%s front=%s:%u",
		  WAXWING_VERSION, s.node.availability_zone,
		  s.front.listen.host, s.front.listen.port);
	do {
		sig = wait_signal(&set, 3600ull * 1000000u);
		if (sig == SIGHUP)
			reload_settings(k, path, &s);
	} while (sig != SIGTERM && sig != SIGINT);
	drain(k, &set);
	kernel_stop(k);
	log_event(LOG_INFO, "stopped", "signal=%d", sig);
	ret = EXIT_OK;
out:
	kernel_destroy(k);
	mg_exit_library();
	return ret;
}

int main(int argc, char **argv)
{
	struct arg_file *config = arg_file0("c", "config", "FILE",
					    "run with the settings in FILE");
	struct arg_file *test = arg_file0(
		"t", "test", "FILE", "check the settings in FILE and exit");
	struct arg_lit *keys =
		arg_lit0("k", "keys", "generate and print a CURVE key pair");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *version = arg_lit0("V", "version", "print the version");
	struct arg_end *end = arg_end(8);
	void *table[] = { config, test, keys, help, version, end };
	int faults = arg_parse(argc, argv, table);
	int ret = EXIT_USAGE;

	if (help->count) {
		printf("usage: waxwingd");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		ret = EXIT_OK;
	} else if (version->count) {
		printf("waxwingd %s\n", WAXWING_VERSION);
		ret = EXIT_OK;
	} else if (faults) {
		arg_print_errors(stderr, end, "waxwingd");
	} else if (keys->count) {
		ret = print_key_pair();
	} else if (test->count) {
		ret = check_settings_file(test->filename[0]);
	} else if (config->count) {
		ret = run(config->filename[0]);
	} else {
		fprintf(stderr, "waxwingd: one of -c, -t or -k is required\n");
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
