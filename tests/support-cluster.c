#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <libgen.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <zmq.h>

#include "clock.h"
#include "support-cluster-internal.h"

#define POLL_US 20000u

extern char **environ;

const char *const cluster_zone_names[CLUSTER_ZONES_MAX] = { "kadikoy",
							    "bakirkoy",
							    "cagla" };

static int write_vm_list(struct cluster *c);
static int write_settings(struct cluster *c, uint32_t i);
static int start_proxy(struct cluster *c);
static int start_fakes(struct cluster *c);
static int stop_process(struct cluster_process *p, int sig);

void cluster_default_options(struct cluster_options *o)
{
	memset(o, 0, sizeof(*o));
	o->zones = 3;
	o->entries[0] = 3;
	o->entries[1] = 2;
	o->entries[2] = 2;
	o->runners = 6;
	o->workers = 6;
	o->worker_cpu_milli = 32000;
	o->worker_memory_mb = 125000;
	o->workers_per_rack = 3;
	o->list_lag_ms = 1000;
	o->report_lag_ms = 1000;
	o->threads = 160;
	o->seed = 1;
}

/* ---- processes ---- */

pid_t cluster_spawn(struct cluster *c, const char *const argv[],
		    const char *output)
{
	posix_spawn_file_actions_t fa;
	char path[600], out[600];
	pid_t pid = 0;
	int ret;

	snprintf(path, sizeof(path), "%s/%s", c->build_folder, argv[0]);
	snprintf(out, sizeof(out), "%s/%s", c->folder, output);
	posix_spawn_file_actions_init(&fa);
	posix_spawn_file_actions_addopen(&fa, 0, "/dev/null", O_RDONLY, 0);
	posix_spawn_file_actions_addopen(&fa, 1, out,
					 O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&fa, 1, 2);
	ret = posix_spawn(&pid, path, &fa, NULL, (char *const *)argv, environ);
	posix_spawn_file_actions_destroy(&fa);
	if (ret) {
		fprintf(stderr, "cannot start %s: %s\n", path, strerror(ret));
		return -1;
	}
	return pid;
}

int cluster_wait_process(pid_t pid)
{
	int status;

	while (waitpid(pid, &status, 0) < 0)
		if (errno != EINTR)
			return -1;
	return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
}

int cluster_run(struct cluster *c, const char *const argv[], const char *output)
{
	pid_t pid = cluster_spawn(c, argv, output);

	return pid < 0 ? -1 : cluster_wait_process(pid);
}

static int start_process(struct cluster *c, struct cluster_process *p,
			 const char *const argv[])
{
	char output[64];

	snprintf(output, sizeof(output), "%s.log", p->name);
	p->pid = cluster_spawn(c, argv, output);
	return p->pid < 0 ? -1 : 0;
}

static int stop_process(struct cluster_process *p, int sig)
{
	int ret;

	if (p->pid <= 0)
		return 0;
	kill(p->pid, sig);
	ret = cluster_wait_process(p->pid);
	p->pid = 0;
	return ret;
}

/* Waits until the port accepts connections. */
static int wait_port(uint16_t port, uint32_t timeout_ms)
{
	uint64_t end = clock_now_us() + timeout_ms * 1000ull;
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };

	while (clock_now_us() < end) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int ret = connect(fd, (struct sockaddr *)&a, sizeof(a));

		close(fd);
		if (!ret)
			return 0;
		clock_sleep_us(POLL_US);
	}
	fprintf(stderr, "timed out waiting for a listener on port %u\n", port);
	return -1;
}

/* ---- files ---- */

static int write_file(struct cluster *c, const char *name, struct buffer *b)
{
	char path[600], old[600];
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s.new", c->folder, name);
	snprintf(old, sizeof(old), "%s/%s", c->folder, name);
	f = fopen(path, "w");
	if (!f || fwrite(b->data, 1, b->len, f) != b->len || fclose(f) ||
	    rename(path, old)) {
		fprintf(stderr, "cannot write %s\n", path);
		return -1;
	}
	return 0;
}

/* Writes the list of runners and workers for fake-platform. */
static int write_vm_list(struct cluster *c)
{
	const struct cluster_options *o = &c->options;
	struct buffer b = BUFFER_INIT;
	const char *sep = "[";
	int ret;

	for (uint32_t z = 0; z < o->zones; z++) {
		const char *zone = cluster_zone_names[z];

		for (uint32_t i = 0; i < o->runners; i++, sep = ",\n")
			buffer_printf(
				&b,
				"%s{\"id\":\"%s-r%u\",\"role\":\"runner\","
				"\"availability_zone\":\"%s\",\"rack\":"
				"\"%s-rr%u\",\"address\":\"127.0.0.1:%u\","
				"\"state\":\"live\",\"slots\":8,"
				"\"connections\":64}",
				sep, zone, i, zone, zone, i / 11,
				cluster_runner_port(c, z) + i);
		for (uint32_t i = 0; i < o->workers; i++, sep = ",\n")
			buffer_printf(
				&b,
				"%s{\"id\":\"%s-w%u\",\"role\":\"worker\","
				"\"availability_zone\":\"%s\",\"rack\":"
				"\"%s-k%u\",\"address\":\"127.0.0.1:%u\","
				"\"state\":\"live\",\"cpu_milli\":%u,"
				"\"memory_mb\":%u,\"accelerators\":0}",
				sep, zone, i, zone, zone,
				i / o->workers_per_rack,
				cluster_worker_port(c, z), o->worker_cpu_milli,
				o->worker_memory_mb);
	}
	buffer_append_str(&b, "]\n");
	ret = write_file(c, "vms.json", &b);
	buffer_free(&b);
	return ret;
}

/* Appends the peer addresses that entry VM i connects to. */
static void append_peer_seeds(struct cluster *c, uint32_t i, struct buffer *b)
{
	const char *sep = "seeds = ";

	for (uint32_t j = 0; j < c->entry_count; j++) {
		bool through = c->options.proxy_links &&
			       c->entry_zone[i] != c->entry_zone[j];
		uint16_t port =
			through ? cluster_peer_link_port(c, c->entry_zone[i], j)
				: cluster_peer_port(c, j);

		if (j == i)
			continue;
		buffer_printf(b, "%s127.0.0.1:%u", sep, port);
		sep = ", ";
	}
	buffer_append_str(b, "\n");
	if (c->options.proxy_links)
		buffer_append_str(b, "discovery = seeds\n");
}

static int write_settings(struct cluster *c, uint32_t i)
{
	struct buffer b = BUFFER_INIT;
	uint32_t zone = c->entry_zone[i];
	char name[64];
	int ret;

	buffer_printf(&b, "[node]\nid = %s-e%u-%u\n", cluster_zone_names[zone],
		      i, c->entry_generation[i]);
	buffer_printf(&b, "availability_zone = %s\ndeployment = test\n",
		      cluster_zone_names[zone]);
	buffer_printf(&b, "[front]\nlisten = 127.0.0.1:%u\nthreads = %u\n",
		      cluster_front_port(c, i), c->options.threads);
	buffer_printf(&b, "queue_limit = %u\n", c->options.threads / 2);
	buffer_printf(&b, "[operator]\nlisten = 127.0.0.1:%u\ntoken = %s\n",
		      cluster_operator_port(c, i), CLUSTER_TOKEN);
	buffer_printf(&b, "[peers]\nlisten = 127.0.0.1:%u\n",
		      cluster_peer_port(c, i));
	buffer_printf(&b, "curve_public = %s\ncurve_secret = %s\n",
		      c->curve_public, c->curve_secret);
	append_peer_seeds(c, i, &b);
	buffer_printf(&b, "[platform]\naddress = 127.0.0.1:%u\nlease = 3s\n",
		      c->options.proxy_links ? cluster_store_link_port(c, zone)
					     : cluster_store_port(c));
	if (c->options.policy)
		buffer_printf(&b, "[policy]\n%s\n", c->options.policy);
	buffer_append_str(&b, "[log]\nlevel = info\n");
	snprintf(name, sizeof(name), "entry-%u.conf", i);
	ret = write_file(c, name, &b);
	buffer_free(&b);
	return ret;
}

/* ---- fakes ---- */

static int start_fake_store(struct cluster *c)
{
	char listen[32], vms[300], journal[300], lag[16], seed[24];
	const char *argv[] = { "fake-platform", "--store", listen,
			       "--vms",		vms,	   "--journal",
			       journal,		"--seed",  seed,
			       "--list-lag-ms", lag,	   NULL };

	snprintf(listen, sizeof(listen), "127.0.0.1:%u", cluster_store_port(c));
	snprintf(vms, sizeof(vms), "%s/vms.json", c->folder);
	snprintf(journal, sizeof(journal), "%s/store.jsonl", c->folder);
	snprintf(lag, sizeof(lag), "%u", c->options.list_lag_ms);
	snprintf(seed, sizeof(seed), "%llu",
		 (unsigned long long)c->options.seed);
	snprintf(c->store.name, sizeof(c->store.name), "store");
	return start_process(c, &c->store, argv);
}

static int start_fake_workers(struct cluster *c, uint32_t zone)
{
	char listen[32], vms[300], journal[300], lag[16], seed[24];
	const char *argv[] = { "fake-platform",	  "--workers", listen,
			       "--vms",		  vms,	       "--journal",
			       journal,		  "--seed",    seed,
			       "--report-lag-ms", lag,	       NULL };

	snprintf(listen, sizeof(listen), "127.0.0.1:%u",
		 cluster_worker_port(c, zone));
	snprintf(vms, sizeof(vms), "%s/vms.json", c->folder);
	snprintf(journal, sizeof(journal), "%s/workers-%u.jsonl", c->folder,
		 zone);
	snprintf(lag, sizeof(lag), "%u", c->options.report_lag_ms);
	snprintf(seed, sizeof(seed), "%llu",
		 (unsigned long long)c->options.seed + zone);
	snprintf(c->workers[zone].name, sizeof(c->workers[zone].name),
		 "workers-%u", zone);
	return start_process(c, &c->workers[zone], argv);
}

static int start_fake_runners(struct cluster *c, uint32_t zone)
{
	char listen[32], control[32], count[16], journal[300], prefix[64];
	char seed[24];
	const char *argv[] = { "fake-runner", "--listen",  listen,
			       "--count",     count,	   "--id-prefix",
			       prefix,	      "--control", control,
			       "--journal",   journal,	   "--seed",
			       seed,	      NULL };

	snprintf(listen, sizeof(listen), "127.0.0.1:%u",
		 cluster_runner_port(c, zone));
	snprintf(control, sizeof(control), "127.0.0.1:%u",
		 cluster_runner_control_port(c, zone));
	snprintf(count, sizeof(count), "%u", c->options.runners);
	snprintf(prefix, sizeof(prefix), "%s-r", cluster_zone_names[zone]);
	snprintf(journal, sizeof(journal), "%s/runners-%u.jsonl", c->folder,
		 zone);
	snprintf(seed, sizeof(seed), "%llu",
		 (unsigned long long)c->options.seed + 100 + zone);
	snprintf(c->runners[zone].name, sizeof(c->runners[zone].name),
		 "runners-%u", zone);
	return start_process(c, &c->runners[zone], argv);
}

/* Links each zone to the store and to every entry VM of other zones. */
static int start_proxy(struct cluster *c)
{
	char control[32], links[40][80];
	const char *argv[100] = { "fault-proxy", "--control", control };
	uint32_t n = 0, args = 3;

	snprintf(control, sizeof(control), "127.0.0.1:%u",
		 cluster_proxy_port(c));
	for (uint32_t z = 0; z < c->options.zones; z++) {
		snprintf(links[n++], sizeof(links[0]),
			 "store-%u=127.0.0.1:%u=127.0.0.1:%u", z,
			 cluster_store_link_port(c, z), cluster_store_port(c));
		for (uint32_t e = 0; e < c->entry_count; e++)
			if (c->entry_zone[e] != z)
				snprintf(links[n++], sizeof(links[0]),
					 "peer-%u-%u=127.0.0.1:%u=127.0.0.1:%u",
					 z, e, cluster_peer_link_port(c, z, e),
					 cluster_peer_port(c, e));
	}
	for (uint32_t i = 0; i < n; i++) {
		argv[args++] = "--link";
		argv[args++] = links[i];
	}
	snprintf(c->proxy.name, sizeof(c->proxy.name), "proxy");
	if (start_process(c, &c->proxy, argv) < 0)
		return -1;
	return wait_port(cluster_proxy_port(c), 10000);
}

static int start_fakes(struct cluster *c)
{
	if (start_fake_store(c) < 0)
		return -1;
	for (uint32_t z = 0; z < c->options.zones; z++) {
		if (c->options.workers && start_fake_workers(c, z) < 0)
			return -1;
		if (c->options.runners && start_fake_runners(c, z) < 0)
			return -1;
	}
	if (wait_port(cluster_store_port(c), 10000) < 0)
		return -1;
	for (uint32_t z = 0; z < c->options.zones; z++) {
		if (c->options.workers &&
		    wait_port(cluster_worker_port(c, z), 10000))
			return -1;
		if (c->options.runners &&
		    wait_port(cluster_runner_port(c, z), 10000))
			return -1;
	}
	return c->options.proxy_links ? start_proxy(c) : 0;
}

/* ---- entry VMs ---- */

int cluster_entry_start(struct cluster *c, uint32_t i)
{
	struct cluster_process *p = &c->entries[i];
	char conf[300];
	const char *argv[] = { "waxwingd", "-c", conf, NULL };

	c->entry_generation[i]++;
	if (write_settings(c, i) < 0)
		return -1;
	snprintf(p->name, sizeof(p->name), "entry-%u", i);
	snprintf(conf, sizeof(conf), "%s/entry-%u.conf", c->folder, i);
	return start_process(c, p, argv);
}

void cluster_entry_signal(struct cluster *c, uint32_t i, int sig)
{
	struct cluster_process *p = &c->entries[i];

	if (p->pid <= 0)
		return;
	if (sig == SIGKILL)
		stop_process(p, sig);
	else
		kill(p->pid, sig);
}

int cluster_entry_wait_exit(struct cluster *c, uint32_t i, uint32_t timeout_ms)
{
	struct cluster_process *p = &c->entries[i];
	uint64_t end = clock_now_us() + timeout_ms * 1000ull;
	int status;

	while (p->pid > 0 && clock_now_us() < end) {
		if (waitpid(p->pid, &status, WNOHANG) == p->pid) {
			p->pid = 0;
			return 0;
		}
		clock_sleep_us(POLL_US);
	}
	return p->pid > 0 ? -1 : 0;
}

static void find_build_folder(struct cluster *c)
{
	const char *env = getenv("WAXWING_BUILD");
	char self[256] = "";
	ssize_t n;

	if (env) {
		snprintf(c->build_folder, sizeof(c->build_folder), "%s", env);
		return;
	}
	n = readlink("/proc/self/exe", self, sizeof(self) - 1);
	self[n > 0 ? n : 0] = '\0';
	snprintf(c->build_folder, sizeof(c->build_folder), "%s", dirname(self));
}

int cluster_prepare(struct cluster *c, uint16_t base_port)
{
	const char *tmp = getenv("TMPDIR");

	c->base_port = base_port ? base_port : cluster_choose_ports();
	find_build_folder(c);
	snprintf(c->folder, sizeof(c->folder), "%s/waxwing-XXXXXX",
		 tmp ? tmp : "/tmp");
	if (!c->base_port || !mkdtemp(c->folder)) {
		fprintf(stderr, "cannot find free ports or create a folder\n");
		return -1;
	}
	return 0;
}

void cluster_remove_folder(const struct cluster *c)
{
	char command[300];

	if (getenv("WAXWING_KEEP")) {
		fprintf(stderr, "keeping %s\n", c->folder);
		return;
	}
	snprintf(command, sizeof(command), "rm -rf '%s'", c->folder);
	if (system(command))
		fprintf(stderr, "cannot remove %s\n", c->folder);
}

int cluster_start(struct cluster *c, const struct cluster_options *o)
{
	memset(c, 0, sizeof(*c));
	c->options = *o;
	if (cluster_prepare(c, o->base_port) < 0)
		return -1;
	zmq_curve_keypair(c->curve_public, c->curve_secret);
	for (uint32_t z = 0; z < o->zones; z++)
		for (uint32_t e = 0; e < o->entries[z]; e++)
			c->entry_zone[c->entry_count++] = z;
	if (write_vm_list(c) < 0 || start_fakes(c) < 0)
		return -1;
	for (uint32_t i = 0; i < c->entry_count; i++)
		if (cluster_entry_start(c, i) < 0)
			return -1;
	for (uint32_t i = 0; i < c->entry_count; i++)
		if (wait_port(cluster_front_port(c, i), 10000) < 0 ||
		    wait_port(cluster_operator_port(c, i), 10000) < 0)
			return -1;
	return 0;
}

void cluster_stop(struct cluster *c)
{
	for (uint32_t i = 0; i < c->entry_count; i++)
		stop_process(&c->entries[i], SIGKILL);
	for (uint32_t z = 0; z < CLUSTER_ZONES_MAX; z++) {
		stop_process(&c->runners[z], SIGTERM);
		stop_process(&c->workers[z], SIGTERM);
	}
	stop_process(&c->store, SIGTERM);
	stop_process(&c->proxy, SIGTERM);
	cluster_remove_folder(c);
}
