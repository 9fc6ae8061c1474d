#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "buffer.h"
#include "clock.h"
#include "jobd.h"
#include "log.h"
#include "support-jobs-fixture.h"
#include "support-unit.h"

#define CALLERS_MAX 1000
/* A connection may end this long after the last byte of its request. */
#define LOSS_SLACK_US 200000u
#define START_MAX_MS 5000
/* The time limit of a stop, and some time to exit. */
#define STOP_MAX_MS 6000
/* When a stop ends if nothing is left to do. */
#define STOP_MS 2500

/* A connection that carries one submission. */
struct caller {
	struct bufferevent *bev;
	bool connected;
	uint64_t sent_us; /* 0: not sent */
	uint64_t closed_us;
	uint64_t reads_us; /* reads no response before */
	int status;	   /* of a complete response; 0: none */
	bool send_at_connect;
	uint32_t number;
};

struct stop_test {
	struct jobs_fixture f;
	pid_t child;
	int exit_status;
	struct caller callers[CALLERS_MAX];
	uint32_t count;
	uint64_t stopped_us; /* when SIGTERM was sent */
};

static pid_t start_process(struct stop_test *t)
{
	sigset_t none;
	pid_t pid;

	jobs_fixture_entry_settings(&t->f, 0);
	fflush(NULL);
	pid = fork();
	if (pid)
		return pid;
	log_set_level(getenv("WAXWING_TEST_LOG") ? LOG_INFO : LOG_ERROR);
	sigemptyset(&none);
	_exit(jobd_run(&t->f.entries[0].settings, "/dev/null", &none));
}

static void parse_response(struct caller *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);
	size_t len = evbuffer_get_length(in);
	char text[1024];
	const char *body, *length;

	if (len >= sizeof(text))
		len = sizeof(text) - 1;
	evbuffer_copyout(in, text, len);
	text[len] = '\0';
	body = strstr(text, "\r\n\r\n");
	length = strstr(text, "Content-Length: ");
	if (body && length &&
	    strlen(body + 4) >= strtoul(length + 16, NULL, 10))
		c->status = (int)strtol(text + strlen("HTTP/1.1 "), NULL, 10);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	(void)bev;
	parse_response(arg);
}

static void send_request(struct caller *c)
{
	static const char body[] = "{\"specification\":\"text\",\"steps\":[{"
				   "\"count\":1,\"cpu\":100,"
				   "\"estimated-ms\":100}]}";

	evbuffer_add_printf(bufferevent_get_output(c->bev),
			    "POST /forms/%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
			    "Content-Type: application/json\r\n"
			    "Content-Length: %zu\r\n\r\n%s",
			    0xa000 + c->number, sizeof(body) - 1, body);
	c->sent_us = clock_now_us();
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct caller *c = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		c->connected = true;
		if (c->send_at_connect)
			send_request(c);
		return;
	}
	if (c->connected)
		parse_response(c);
	c->closed_us = clock_now_us();
}

static struct caller *connect_caller(struct stop_test *t, bool send,
				     uint32_t read_delay_ms)
{
	struct caller *c = &t->callers[t->count];
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)(jobs_fixture_entry_port(0) + 3)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	CU_ASSERT_FATAL(t->count < CALLERS_MAX);
	c->number = t->count++;
	c->send_at_connect = send;
	c->bev = bufferevent_socket_new(t->f.base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	if (read_delay_ms)
		c->reads_us = clock_now_us() + read_delay_ms * 1000u;
	else
		bufferevent_enable(c->bev, EV_READ);
	bufferevent_socket_connect(c->bev, (struct sockaddr *)&sin,
				   sizeof(sin));
	return c;
}

static bool has_exited(struct stop_test *t)
{
	int status;

	if (t->child && waitpid(t->child, &status, WNOHANG) == t->child) {
		t->child = 0;
		t->exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	}
	return !t->child;
}

static void run(struct stop_test *t, uint32_t ms)
{
	uint64_t now = clock_now_us();

	for (uint32_t i = 0; i < t->count; i++) {
		struct caller *c = &t->callers[i];

		if (!c->reads_us || now < c->reads_us)
			continue;
		c->reads_us = 0;
		bufferevent_enable(c->bev, EV_READ);
	}
	jobs_fixture_run(&t->f, ms);
}

static void set_up(struct stop_test *t)
{
	struct caller *c = NULL;

	memset(t, 0, sizeof(*t));
	t->child = start_process(t);
	CU_ASSERT_FATAL(t->child > 0);
	jobs_fixture_start(&t->f);
	jobs_fixture_set_queue_host(&t->f);
	for (int ms = 0; ms < START_MAX_MS; ms += 50) {
		c = connect_caller(t, true, 0);
		run(t, 50);
		if (c->status == 200)
			break;
	}
	CU_ASSERT_FATAL(c && c->status == 200);
	run(t, 1000);
}

static void begin_stop(struct stop_test *t)
{
	kill(t->child, SIGTERM);
	t->stopped_us = clock_now_us();
}

static uint64_t stop_age_ms(const struct stop_test *t)
{
	return (clock_now_us() - t->stopped_us) / 1000;
}

/* Counts the requests that the process took and did not answer. */
static uint32_t count_lost(const struct stop_test *t)
{
	uint32_t lost = 0;

	for (uint32_t i = 0; i < t->count; i++) {
		const struct caller *c = &t->callers[i];

		if (!c->sent_us || c->status ||
		    (c->closed_us && c->closed_us < c->sent_us + LOSS_SLACK_US))
			continue;
		printf("request %u, sent %lld ms after the signal, closed %lld "
		       "ms later without a response\n",
		       i, (long long)(c->sent_us - t->stopped_us) / 1000,
		       (long long)(c->closed_us - c->sent_us) / 1000);
		lost++;
	}
	return lost;
}

static void end_test(struct stop_test *t)
{
	while (!has_exited(t) && stop_age_ms(t) < STOP_MAX_MS)
		run(t, 10);
	CU_ASSERT(has_exited(t));
	CU_ASSERT_EQUAL(t->exit_status, 0);
	if (t->child) {
		kill(t->child, SIGKILL);
		waitpid(t->child, NULL, 0);
	}
	for (int i = 0; i < 120; i++)
		run(t, 10);
	CU_ASSERT_EQUAL(count_lost(t), 0);
	for (uint32_t i = 0; i < t->count; i++)
		bufferevent_free(t->callers[i].bev);
	jobs_fixture_tear_down(&t->f);
}

/*
 * Guards against whole requests that get no response at a planned stop: sent
 * each 10 ms, on connections that are new, or open since before the signal, of
 * which some are read slowly.
 */
static void test_requests_during_stop(void)
{
	struct stop_test *t = xcalloc(1, sizeof(*t));
	uint32_t open, answered = 0;

	set_up(t);
	open = t->count;
	for (int i = 0; i < 200; i++)
		connect_caller(t, false, i % 5 ? 0 : STOP_MS + 1000);
	run(t, 100);
	begin_stop(t);
	while (!has_exited(t) && stop_age_ms(t) < STOP_MAX_MS) {
		struct caller *c = &t->callers[open];

		if (stop_age_ms(t) > 2000 && open < t->count && c->connected &&
		    !c->closed_us) {
			send_request(c);
			open++;
		}
		if (t->count < CALLERS_MAX)
			connect_caller(t, true, t->count % 7 ? 0 : 300);
		run(t, 10);
	}
	for (uint32_t i = 0; i < t->count; i++)
		answered += t->callers[i].status != 0;
	printf("%u of %u answered, exit after %llu ms\n", answered, t->count,
	       (unsigned long long)stop_age_ms(t));
	CU_ASSERT(answered > 200);
	end_test(t);
	free(t);
}

/*
 * Guards against a response that is dropped because the stop ends in the same
 * round of the event loop in which the store has answered: the process is
 * paused while the answers arrive.
 */
static void test_answers_arrive_with_end_of_stop(void)
{
	struct stop_test *t = xcalloc(1, sizeof(*t));
	struct caller *c[4];

	set_up(t);
	begin_stop(t);
	while (stop_age_ms(t) < STOP_MS - 150)
		run(t, 10);
	while (!has_exited(t) && stop_age_ms(t) < STOP_MAX_MS) {
		for (int i = 0; i < 4; i++)
			c[i] = connect_caller(t, false, 0);
		run(t, 2);
		for (int i = 0; i < 4; i++)
			if (c[i]->connected)
				send_request(c[i]);
		event_base_loop(t->f.base, EVLOOP_NONBLOCK);
		/* The store has the calls and does not run. */
		usleep(30000);
		if (has_exited(t))
			break;
		kill(t->child, SIGSTOP);
		run(t, 230);
		kill(t->child, SIGCONT);
		run(t, 10);
	}
	end_test(t);
	free(t);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "requests during stop", test_requests_during_stop },
		{ "answers arrive with end of stop",
		  test_answers_arrive_with_end_of_stop },
	};

	return RUN_SUITE("jobs-stop", tests);
}
