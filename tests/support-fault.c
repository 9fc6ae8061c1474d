#include <pthread.h>
#include <string.h>

#include "clock.h"
#include "support-control.h"
#include "support-fault.h"

#define HOLD_STEP_US 20000

static const char *const fields[] = { "delay_ms", "error_rate", "lose",
				      "down",	  "reset",	NULL };

static void hold_while_down(struct fault *f);
static bool draw(struct fault *f, double rate);
static uint64_t half_delay(struct fault *f);

void fault_init(struct fault *f, uint64_t seed)
{
	memset(f, 0, sizeof(*f));
	pthread_mutex_init(&f->lock, NULL);
	f->rng.state = seed;
}

bool fault_set(struct fault *f, const json_t *change)
{
	bool was_down;
	double delay_ms;

	if (!control_fields_known(change, fields))
		return false;
	pthread_mutex_lock(&f->lock);
	was_down = f->down;
	if (control_resets(change)) {
		f->delay_us = 0;
		f->error_rate = 0;
		f->lose_rate = 0;
		f->down = false;
	}
	delay_ms = (double)f->delay_us / 1000;
	control_number(change, "delay_ms", &delay_ms);
	control_number(change, "error_rate", &f->error_rate);
	control_number(change, "lose", &f->lose_rate);
	f->delay_us = (uint64_t)(delay_ms * 1000);
	control_flag(change, "down", &f->down);
	f->generation += f->down && !was_down;
	pthread_mutex_unlock(&f->lock);
	return true;
}

bool fault_is_down(struct fault *f)
{
	bool down;

	pthread_mutex_lock(&f->lock);
	down = f->down;
	pthread_mutex_unlock(&f->lock);
	return down;
}

unsigned fault_generation(struct fault *f)
{
	unsigned generation;

	pthread_mutex_lock(&f->lock);
	generation = f->generation;
	pthread_mutex_unlock(&f->lock);
	return generation;
}

void fault_release(struct fault *f)
{
	pthread_mutex_lock(&f->lock);
	f->down = false;
	f->delay_us = 0;
	f->generation++;
	pthread_mutex_unlock(&f->lock);
}

static bool draw(struct fault *f, double rate)
{
	bool hit;

	pthread_mutex_lock(&f->lock);
	hit = rate > 0 && rng_unit(&f->rng) < rate;
	pthread_mutex_unlock(&f->lock);
	return hit;
}

static uint64_t half_delay(struct fault *f)
{
	uint64_t delay;

	pthread_mutex_lock(&f->lock);
	delay = f->delay_us / 2;
	pthread_mutex_unlock(&f->lock);
	return delay;
}

/* A silent peer keeps the connection open; the wait is bounded. */
static void hold_while_down(struct fault *f)
{
	uint64_t end = clock_now_us() + FAULT_HOLD_US;

	while (fault_is_down(f) && clock_now_us() < end)
		clock_sleep_us(HOLD_STEP_US);
}

bool fault_enter(struct fault *f, struct httpd_call *call)
{
	uint64_t delay = half_delay(f);

	if (fault_is_down(f)) {
		hold_while_down(f);
		call->status = 0;
		return false;
	}
	if (delay)
		clock_sleep_us(delay);
	if (draw(f, f->error_rate)) {
		httpd_respond(call, 500, "{\"error\":\"injected\"}");
		return false;
	}
	return true;
}

void fault_leave(struct fault *f, struct httpd_call *call)
{
	uint64_t delay = half_delay(f);

	if (delay)
		clock_sleep_us(delay);
	if (draw(f, f->lose_rate) || fault_is_down(f))
		call->status = 0;
}

void calls_init(struct call_counts *c)
{
	memset(c, 0, sizeof(*c));
	pthread_mutex_init(&c->lock, NULL);
}

void calls_count(struct call_counts *c, enum call_kind kind)
{
	uint64_t second = clock_wall_us() / 1000000;
	size_t at = second % CALL_HISTORY_S;

	pthread_mutex_lock(&c->lock);
	if (c->history[at].second != second) {
		memset(&c->history[at], 0, sizeof(c->history[at]));
		c->history[at].second = second;
	}
	c->history[at].calls[kind]++;
	c->total[kind]++;
	pthread_mutex_unlock(&c->lock);
}

void calls_print(struct call_counts *c, bool history, struct buffer *out)
{
	uint32_t peak[CALL_KIND_COUNT] = { 0 }, peak_sum = 0;
	const char *comma = "";

	pthread_mutex_lock(&c->lock);
	for (size_t i = 0; i < CALL_HISTORY_S; i++) {
		const uint32_t *n = c->history[i].calls;
		uint32_t sum = n[CALL_READ] + n[CALL_WRITE] + n[CALL_WATCH];

		for (size_t k = 0; k < CALL_KIND_COUNT; k++)
			if (n[k] > peak[k])
				peak[k] = n[k];
		if (sum > peak_sum)
			peak_sum = sum;
	}
	buffer_printf(out,
		      "{\"read\":%llu,\"write\":%llu,\"watch\":%llu,"
		      "\"peak_read\":%u,\"peak_write\":%u,\"peak_watch\":%u,"
		      "\"peak\":%u",
		      (unsigned long long)c->total[CALL_READ],
		      (unsigned long long)c->total[CALL_WRITE],
		      (unsigned long long)c->total[CALL_WATCH], peak[CALL_READ],
		      peak[CALL_WRITE], peak[CALL_WATCH], peak_sum);
	if (history)
		buffer_append_str(out, ",\"seconds\":[");
	for (size_t i = 0; history && i < CALL_HISTORY_S; i++) {
		const uint32_t *n = c->history[i].calls;

		if (!c->history[i].second)
			continue;
		buffer_printf(out, "%s[%llu,%u,%u,%u]", comma,
			      (unsigned long long)c->history[i].second,
			      n[CALL_READ], n[CALL_WRITE], n[CALL_WATCH]);
		comma = ",";
	}
	buffer_append_str(out, history ? "]}" : "}");
	pthread_mutex_unlock(&c->lock);
}
