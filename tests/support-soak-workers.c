#include "support-soak-workers.h"

/* drain-ms on the users' sites. */
#define DRAIN_MIN_MS 2000u
#define DRAIN_SPAN_MS 3000u

/* Of the orders of a third of the workers, if others are executed late. */
#define REFUSE_PERCENT 40u

/* Of the orders, in percent. */
static const uint32_t shares[] = { 6, 30, 60 };

static uint32_t share(uint32_t draw)
{
	return shares[draw / 64 % 3];
}

static bool concerns(uint32_t draw, uint32_t worker, uint32_t count)
{
	switch (draw % 4) {
	case 0:
	case 1:
		return true;
	case 2:
		return worker % 3 == draw / 4 % 3;
	default:
		return worker == draw / 4 % count;
	}
}

static void raise_to(uint32_t *percent, uint32_t to)
{
	if (*percent < to)
		*percent = to;
}

static void set_worker_faults(const struct soak_workers *w, uint32_t worker)
{
	struct worker_faults f = { 0 };

	for (int i = 0; i < SOAK_WORKER_FAULTS_MAX; i++) {
		uint32_t draw = w->active[i].draw;

		if (!concerns(draw, worker, w->count))
			continue;
		if (w->active[i].fault == SOAK_APPLIES_LATE) {
			raise_to(&f.late_percent, share(draw));
			if (draw / 2048 % 2 && worker % 3 == draw / 4096 % 3)
				raise_to(&f.refuse_percent, REFUSE_PERCENT);
		}
		if (w->active[i].fault == SOAK_NO_ROOM)
			raise_to(&f.no_room_percent, share(draw));
		if (w->active[i].fault != SOAK_REFUSES)
			continue;
		raise_to(&f.refuse_percent, share(draw));
		if (draw / 256 % 3 == 0)
			raise_to(&f.refuse_polls_percent, share(draw) / 2);
	}
	jobs_platform_set_worker_faults(w->platform, (int)worker, &f);
}

static bool is_order_fault(enum soak_worker_fault f)
{
	return f == SOAK_APPLIES_LATE || f == SOAK_REFUSES || f == SOAK_NO_ROOM;
}

static bool may_remove_worker(const struct soak_workers *w)
{
	uint32_t ready = 0;

	for (uint32_t i = 0; i < w->count; i++)
		ready += jobs_platform_worker_ready(w->platform, (int)i);
	return ready > (w->count + 1) / 2;
}

static bool begins_with_new_id(uint32_t draw)
{
	return draw / 1024 % 2;
}

static bool crash(struct soak_workers *w, uint32_t draw)
{
	int worker = (int)(draw % w->count);

	if (!may_remove_worker(w) ||
	    !jobs_platform_crash_worker(w->platform, worker))
		return false;
	if (draw / 512 % 2)
		jobs_platform_restart_worker(w->platform, worker,
					     begins_with_new_id(draw));
	return true;
}

bool soak_worker_fault_begin(struct soak_workers *w, enum soak_worker_fault f,
			     uint32_t draw)
{
	int i = 0;

	if (f == SOAK_CRASHES)
		return crash(w, draw);
	if (f == SOAK_DRAINS)
		return may_remove_worker(w) &&
		       jobs_platform_drain_worker(
			       w->platform, (int)(draw % w->count),
			       DRAIN_MIN_MS + draw / 64 % DRAIN_SPAN_MS);
	while (i < SOAK_WORKER_FAULTS_MAX && w->active[i].fault)
		i++;
	if (i == SOAK_WORKER_FAULTS_MAX)
		return false;
	w->active[i].fault = f;
	w->active[i].draw = draw;
	for (uint32_t n = 0; n < w->count; n++)
		set_worker_faults(w, n);
	return true;
}

void soak_worker_fault_end(struct soak_workers *w, enum soak_worker_fault f,
			   uint32_t draw)
{
	int worker = (int)(draw % w->count), i = 0;

	if (!is_order_fault(f)) {
		if (!jobs_platform_worker_ready(w->platform, worker))
			jobs_platform_restart_worker(w->platform, worker,
						     begins_with_new_id(draw));
		return;
	}
	while (w->active[i].fault != f || w->active[i].draw != draw)
		i++;
	w->active[i].fault = SOAK_NO_WORKER_FAULT;
	for (uint32_t n = 0; n < w->count; n++)
		set_worker_faults(w, n);
}
