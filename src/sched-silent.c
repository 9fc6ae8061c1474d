#include <string.h>

#include "sched-internal.h"

/* A worker is recorded once it has been silent for this long. */
#define SILENT_US 300000u
/*
 * Workers that have not reported to this owner are recorded at once if they are
 * few, else once no other one has reported for SILENT_US, or after this time:
 * after an outage many report late.
 */
#define SILENT_UNHEARD_US 1500000u
#define SILENT_FEW_PART 4u
/* Kept in the record after its leases, while its tasks are stored as lost. */
#define SILENT_KEEP_US 3000000u
#define SILENT_ADD_INTERVAL_US 200000u
/* Interval at which silent workers are looked for. */
#define SILENT_CHECK_US 50000u

static bool is_unheard(const struct sched_worker *w)
{
	return w->first_task != SCHED_NONE && !w->heard_us;
}

/* When workers that have not reported to this owner may be recorded. */
static uint64_t unheard_due_us(const struct sched *s)
{
	uint64_t latest_us = s->created_us + SILENT_UNHEARD_US;
	uint64_t quiet_us = s->newly_heard_us + SILENT_US;
	uint32_t unheard = 0, with_tasks = 0;

	for (uint32_t i = 0; i < s->worker_count; i++) {
		with_tasks += s->workers[i].first_task != SCHED_NONE;
		unheard += is_unheard(&s->workers[i]);
	}
	if (unheard * SILENT_FEW_PART <= with_tasks)
		return 0;
	return s->newly_heard_us && quiet_us < latest_us ? quiet_us : latest_us;
}

/*
 * When a worker that has reported may be recorded. One that refuses polls is
 * unresponsive, too, but its leases are renewed.
 */
static uint64_t record_due_us(const struct sched_worker *w)
{
	uint64_t granted_us = w->granted_us + SILENT_US;
	uint64_t due_us = w->silent_since_us + SILENT_US;

	return due_us > granted_us ? due_us : granted_us;
}

/* unheard: workers that have not reported may be recorded. */
static bool is_recordable(const struct sched_worker *w, uint64_t now_us,
			  bool add, bool unheard)
{
	if (w->responsive)
		return false;
	if (w->recorded)
		return w->first_task != SCHED_NONE ||
		       now_us < w->lease_end_us + SILENT_KEEP_US;
	if (!add)
		return false;
	/* That its tasks are taken back may not be stored yet. */
	if (w->first_task == SCHED_NONE)
		return w->tasks_lost_us &&
		       now_us < w->tasks_lost_us + SILENT_KEEP_US;
	return w->heard_us ? now_us >= record_due_us(w)
			   : unheard || w->lease_recorded;
}

bool sched_silent_changed(struct sched *s, uint64_t now_us, bool add)
{
	bool unheard;
	uint32_t n = 0;

	if (s->silent_returned)
		return true;
	if (!add || now_us < s->silent_check_us)
		return false;
	unheard = now_us >= unheard_due_us(s);
	s->silent_check_us = now_us + SILENT_CHECK_US;
	for (uint32_t i = 0; i < s->worker_count; i++)
		n += !s->workers[i].recorded &&
		     is_recordable(&s->workers[i], now_us, true, unheard);
	return s->silent_changed || n > s->silent_left_out;
}

static uint32_t lease_left_ms(const struct sched_worker *w, uint64_t now_us)
{
	uint64_t left_us =
		w->lease_end_us > now_us ? w->lease_end_us - now_us : 0;

	return (uint32_t)(left_us / 1000 + 1);
}

/* Adds a worker that the record does not name to the bound of the others. */
static void add_other(uint32_t *others_ms, const struct sched_worker *w,
		      uint64_t now_us)
{
	uint32_t left_ms = lease_left_ms(w, now_us);

	if (w->first_task == SCHED_NONE && !w->granted_us)
		return;
	if (left_ms > *others_ms)
		*others_ms = left_ms;
}

uint32_t sched_silent_collect(struct sched *s, uint64_t now_us, bool add,
			      sched_silent_fn *fn, void *arg)
{
	bool unheard = now_us >= unheard_due_us(s);
	uint32_t others_ms = 0;

	s->silent_returned = false;
	s->silent_left_out = 0;
	if (add) {
		s->silent_changed = false;
		s->silent_check_us = now_us + SILENT_ADD_INTERVAL_US;
	}
	for (uint32_t i = 0; i < s->worker_count; i++) {
		struct sched_worker *w = &s->workers[i];

		w->recorded &= (uint8_t)~SILENT_COLLECTED;
		if (is_recordable(w, now_us, add, unheard)) {
			if (fn(arg, w->identity->id,
			       lease_left_ms(w, now_us))) {
				w->recorded |= SILENT_COLLECTED;
				continue;
			}
			s->silent_left_out++;
		}
		add_other(&others_ms, w, now_us);
	}
	return others_ms;
}

uint32_t sched_silent_collect_last(struct sched *s, uint64_t now_us,
				   sched_silent_fn *fn, void *arg)
{
	uint32_t others_ms = 0;

	for (uint32_t i = 0; i < s->worker_count; i++) {
		const struct sched_worker *w = &s->workers[i];

		if (w->first_task == SCHED_NONE && now_us > w->lease_end_us)
			continue;
		if (w->responsive ||
		    !fn(arg, w->identity->id, lease_left_ms(w, now_us)))
			add_other(&others_ms, w, now_us);
	}
	return others_ms;
}

void sched_silent_stored(struct sched *s)
{
	for (uint32_t i = 0; i < s->worker_count; i++) {
		struct sched_worker *w = &s->workers[i];

		w->recorded = w->recorded & SILENT_COLLECTED
				      ? SILENT_COLLECTED | SILENT_STORED
				      : 0;
	}
}

void sched_expect_reports(struct sched *s, uint64_t now_us)
{
	s->newly_heard_us = now_us;
}

bool sched_awaits_reports(const struct sched *s)
{
	for (uint32_t i = 0; i < s->worker_count; i++)
		if (is_unheard(&s->workers[i]))
			return true;
	return false;
}

bool sched_lease_withheld(const struct sched *s, uint32_t worker)
{
	return s->workers[worker].recorded;
}

static bool limit_lease(struct sched *s, struct sched_worker *w,
			uint64_t end_us)
{
	if (w->responsive || w->heard_us || w->granted_us ||
	    end_us >= w->lease_end_us)
		return false;
	w->lease_end_us = end_us;
	sched_check_lease_at(s, end_us);
	return true;
}

bool sched_limit_lease(struct sched *s, const char *id, uint64_t end_us)
{
	uint32_t i = sched_find_worker(s, id);
	struct sched_worker *w;

	if (i == SCHED_NONE)
		return false;
	w = &s->workers[i];
	w->lease_recorded = true;
	if (!limit_lease(s, w, end_us))
		return false;
	/* A predecessor has waited for its report already. */
	w->silent_since_us = 0;
	s->silent_changed = s->silent_changed || w->first_task != SCHED_NONE;
	s->silent_check_us = 0;
	return true;
}

uint32_t sched_limit_other_leases(struct sched *s, uint64_t end_us)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->worker_count; i++)
		if (!s->workers[i].lease_recorded)
			n += limit_lease(s, &s->workers[i], end_us);
	return n;
}
