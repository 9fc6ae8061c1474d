#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "sched-internal.h"

/* Preferences in thousandths of a worker's CPU, see score(). */
#define SCORE_SAME_IMAGE 4000
#define SCORE_NO_SERVICE 2000
#define SCORE_BESIDE_SERVICES 400
/* For each task of the same step, so that a failed worker runs few of them. */
#define PENALTY_SAME_STEP 300
/*
 * A cold worker counts as half full before it has a task: it gets tasks that
 * would find less than half of a warm worker free, but not a full share at
 * once.
 */
#define PENALTY_COLD 500
/* Exceeds all other preferences together. */
#define PENALTY_FAILED_HERE 100000

bool sched_worker_has_label(const struct sched_worker *w, const char *label)
{
	if (!*label)
		return true;
	for (int i = 0; i < SCHED_LABELS_MAX; i++)
		if (!strcmp(w->identity->labels[i], label))
			return true;
	return false;
}

/* Counts the tasks of the same step and occurrence on a worker. */
static uint32_t count_step_tasks(const struct sched *s,
				 const struct sched_worker *w,
				 const struct sched_task *task)
{
	uint32_t n = 0;

	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker)
		n += s->tasks[i].job == task->job &&
		     s->tasks[i].occurrence == task->occurrence &&
		     s->tasks[i].step == task->step;
	return n;
}

bool sched_below_worker_max(const struct sched *s, const struct sched_worker *w,
			    const struct sched_task *t,
			    const struct job_step *step)
{
	return !step->per_worker_max ||
	       count_step_tasks(s, w, t) < step->per_worker_max;
}

/* Whether a task will end on the worker and show if the worker is healthy. */
static bool has_finite_task(const struct sched *s, const struct sched_worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker)
		if (!sched_task_step(s, &s->tasks[i])->long_running)
			return true;
	return false;
}

/* Whether the worker accepts tasks at present. */
static bool available(const struct sched *s, const struct sched_worker *w)
{
	return w->listed && w->responsive && !w->draining &&
	       !w->entry_outdated && !w->evacuated && !w->has_unknown_run &&
	       s->now_us >= w->quarantine_end_us &&
	       s->now_us >= w->full_until_us;
}

bool sched_worker_usable(const struct sched *s, const struct sched_worker *w,
			 const struct job *j, const struct job_step *step)
{
	if (w->service != j->service || !available(s, w))
		return false;
	if (sched_worker_on_trial(s, w) && !step->long_running &&
	    has_finite_task(s, w))
		return false;
	return sched_worker_has_label(w, step->label);
}

int64_t sched_best_effort_cpu_left(const struct sched_worker *w)
{
	int64_t others = (int64_t)w->used.cpu_milli - w->service_milli;

	return (int64_t)w->capacity.cpu_milli - others -
	       (int64_t)w->service_milli * SERVICE_CPU_USE_PERCENT / 100 -
	       w->best_effort_milli;
}

static int32_t clamp_room(int64_t n)
{
	return n < INT32_MIN   ? INT32_MIN
	       : n > INT32_MAX ? INT32_MAX
			       : (int32_t)n;
}

static int32_t left(uint32_t capacity, uint32_t used, uint32_t reserved)
{
	return clamp_room((int64_t)capacity - used - reserved);
}

/* CPU that counts as free in the score of a task that is not best-effort. */
static int64_t free_cpu(const struct sched_worker *w)
{
	return (int64_t)w->capacity.cpu_milli - w->used.cpu_milli -
	       w->best_effort_milli / 2;
}

static uint32_t beside_services_bonus(const struct sched_worker *w)
{
	return w->service_milli ? SCORE_BESIDE_SERVICES : 0;
}

void sched_update_room(struct sched *s, uint32_t worker)
{
	const struct sched_worker *w = &s->workers[worker];
	uint32_t capacity_milli = w->capacity.cpu_milli;
	int64_t best_effort = sched_best_effort_cpu_left(w);
	struct worker_room room = {
		.service = available(s, w) ? w->service : ROOM_NO_SERVICE,
		.cpu_milli = left(capacity_milli, w->used.cpu_milli,
				  w->reserved.cpu_milli),
		.cpu_later_milli = left(capacity_milli, w->service_milli,
					w->reserved.cpu_milli),
		.best_effort_milli = w->over_target_since_us
					     ? INT32_MIN
					     : clamp_room(best_effort),
		.memory_mb = left(w->capacity.memory_mb, w->used.memory_mb,
				  w->reserved.memory_mb),
		.accelerators =
			left(w->capacity.accelerators, w->used.accelerators,
			     w->reserved.accelerators),
		.rank = room_rank(free_cpu(w), w->inverse_cpu, 0),
		.best_effort_rank = room_rank(best_effort, w->inverse_cpu,
					      beside_services_bonus(w)),
		.inverse_cpu = w->inverse_cpu,
	};

	if (w->cold) {
		room.rank = room_rank_less(room.rank, PENALTY_COLD);
		room.best_effort_rank =
			room_rank_less(room.best_effort_rank, PENALTY_COLD);
	}
	room_index_set(&s->rooms, worker, &room);
}

/* Whether the worker has long-running tasks, and only of the given image. */
static void find_services(const struct sched *s, const struct sched_worker *w,
			  const char *image, bool *has_service,
			  bool *same_image)
{
	*has_service = false;
	*same_image = true;
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		const struct job_step *step = sched_task_step(s, &s->tasks[i]);

		if (!step->long_running)
			continue;
		*has_service = true;
		*same_image = *same_image && !strcmp(step->image, image);
	}
}

/*
 * Services of one image are packed together, so that few workers are sensitive
 * to a given batch image and others run no service and accept all batch images.
 * Best-effort tasks are placed beside services that tolerate them, to leave the
 * workers without services to images that interfere. Other tasks are placed on
 * the worker with the most free CPU. A worker that is slow now comes after all
 * others for tasks that end; services stay for longer than slowness lasts.
 */
static int64_t warm_score(const struct sched *s, const struct sched_worker *w,
			  const struct job_step *step,
			  const struct sched_task *t)
{
	int64_t capacity_milli = (int64_t)w->capacity.cpu_milli + 1;
	int64_t need = step->demand.cpu_milli;
	bool has_service, same_image;

	if (step->long_running) {
		find_services(s, w, step->image, &has_service, &same_image);
		return (w->used.cpu_milli + need) * 1000 / capacity_milli +
		       (has_service ? same_image ? SCORE_SAME_IMAGE : 0
				    : SCORE_NO_SERVICE) -
		       PENALTY_SAME_STEP * (int64_t)count_step_tasks(s, w, t);
	}
	if (step->best_effort)
		return (sched_best_effort_cpu_left(w) - need) * 1000 /
			       capacity_milli +
		       beside_services_bonus(w) - sched_slow_penalty(s, w);
	return (free_cpu(w) - need) * 1000 / capacity_milli -
	       sched_slow_penalty(s, w);
}

int64_t sched_worker_score(const struct sched *s, const struct sched_worker *w,
			   const struct job_step *step,
			   const struct sched_task *t)
{
	return warm_score(s, w, step, t) - (w->cold ? PENALTY_COLD : 0);
}

/* Whether a new service fits, with what it leaves to others. */
static bool fits_beside_withheld(const struct sched *s, uint32_t worker,
				 const struct resources *need)
{
	const struct worker_room *room = &s->rooms.rooms[worker];
	const struct resources *stopped = &s->workers[worker].stopped;

	return room->cpu_milli >=
		       (int64_t)stopped->cpu_milli + need->cpu_milli &&
	       room->memory_mb >=
		       (int64_t)stopped->memory_mb + need->memory_mb &&
	       room->accelerators >=
		       (int64_t)stopped->accelerators + need->accelerators;
}

uint32_t sched_best_worker(struct sched *s, const struct job *j,
			   const struct sched_task *t, const char *rack,
			   bool beside_probations)
{
	const struct job_step *step = &j->spec.steps[t->step];
	struct room_query q = room_query(j->service, step);
	bool ranked = !step->long_running && !sched_needs_probation(t);
	bool withheld = sched_leaves_room(s, t);
	uint32_t best = SCHED_NONE;
	int64_t best_score = 0;

	for (uint32_t i = room_index_next(&s->rooms, &q, 0); i != SCHED_NONE;
	     i = room_index_next(&s->rooms, &q, i + 1)) {
		struct sched_worker *w = &s->workers[i];
		int64_t value;

		if (!sched_worker_usable(s, w, j, step) ||
		    (w->probations && !beside_probations) ||
		    (rack && !sched_worker_has_label(w, rack)) ||
		    (withheld && !fits_beside_withheld(s, i, &step->demand)))
			continue;
		value = sched_needs_probation(t)
				? sched_probation_score(s, w)
				: sched_worker_score(s, w, step, t);
		if (i == t->last_failed_worker)
			value -= PENALTY_FAILED_HERE;
		if (best != SCHED_NONE && value <= best_score)
			continue;
		if (!sched_below_worker_max(s, w, t, step))
			continue;
		if (step->best_effort &&
		    sched_interference_headroom(s, w, step) < 0)
			continue;
		best = i;
		best_score = value;
		if (ranked)
			room_query_above(&q, best_score);
	}
	return best;
}

static uint32_t unmet_image(const struct job_step *step)
{
	return step->best_effort ? step->image_handle : SCHED_NONE;
}

static bool no_larger(const struct resources *a, const struct resources *b)
{
	return a->cpu_milli <= b->cpu_milli && a->memory_mb <= b->memory_mb &&
	       a->accelerators <= b->accelerators;
}

static struct unmet_bucket *unmet_bucket(struct sched *s,
					 const struct job_step *step)
{
	return &s->unmet[unmet_image(step) % UNMET_BUCKETS];
}

/* Whether a demand no larger than this was not met in this round. */
static bool known_unmet(struct sched *s, const struct job *j,
			const struct job_step *step)
{
	const struct unmet_bucket *b = unmet_bucket(s, step);

	for (uint32_t i = 0; i < b->count; i++) {
		const struct unmet_demand *u = &b->list[i];

		if (u->image == unmet_image(step) && u->service == j->service &&
		    no_larger(&u->demand, &step->demand))
			return true;
	}
	return false;
}

/*
 * Replaces a larger demand, if there is one, as the smaller rules out more.
 * Constrained steps are left out: they say nothing about other steps.
 */
static void record_unmet(struct sched *s, const struct job *j,
			 const struct job_step *step)
{
	struct unmet_bucket *b = unmet_bucket(s, step);
	uint32_t i = 0;

	if (*step->label || *step->rack || step->per_worker_max)
		return;
	while (i < b->count && (b->list[i].image != unmet_image(step) ||
				b->list[i].service != j->service ||
				!no_larger(&step->demand, &b->list[i].demand)))
		i++;
	if (i == UNMET_MAX)
		return;
	if (i == b->count)
		b->count++;
	b->list[i].service = j->service;
	b->list[i].image = unmet_image(step);
	b->list[i].demand = step->demand;
}

static uint32_t choose_any_rack(struct sched *s, const struct job *j,
				const struct sched_task *t)
{
	const struct job_step *step = &j->spec.steps[t->step];
	uint32_t best = SCHED_NONE;

	if (!known_unmet(s, j, step)) {
		best = sched_best_worker(s, j, t, NULL, false);
		/* Others may use what this one leaves. */
		if (best == SCHED_NONE && !sched_leaves_room(s, t))
			record_unmet(s, j, step);
	}
	if (best == SCHED_NONE && step->best_effort)
		best = sched_starved_worker(s, j, t);
	return best;
}

static bool waits_for_rack(const struct sched *s, const struct sched_task *t,
			   uint64_t rack_wait_us)
{
	return s->now_us < t->state_since_us + rack_wait_us;
}

/* A task that may wait for its probation runs beside others at once if not. */
static uint32_t choose_for_probation(struct sched *s, const struct job *j,
				     const struct sched_task *t)
{
	uint32_t best = SCHED_NONE;

	if (sched_probation_available(s))
		best = sched_best_worker(s, j, t, NULL, false);
	if (best == SCHED_NONE && !sched_probation_required(t))
		best = sched_best_worker(s, j, t, NULL, true);
	return best;
}

static uint32_t choose_worker(struct sched *s, const struct job *j,
			      const struct sched_task *t, uint64_t rack_wait_us)
{
	const struct job_step *step = &j->spec.steps[t->step];
	uint32_t best;

	if (sched_needs_probation(t))
		return choose_for_probation(s, j, t);
	if (!*step->rack)
		return choose_any_rack(s, j, t);
	best = sched_best_worker(s, j, t, step->rack, false);
	if (best != SCHED_NONE || waits_for_rack(s, t, rack_wait_us))
		return best;
	return choose_any_rack(s, j, t);
}

/* What a placement round did with the tasks of one step. */
struct step_result {
	const struct sched_task *last_placed;
	uint32_t placed;
	uint32_t new_placed;   /* ... of a service, that had never run */
	uint32_t unplaced;     /* of the tasks that were tried */
	uint32_t suspects;     /* that wait for a probation */
	bool no_room;	       /* nor will any worker have room */
	uint64_t rack_wait_us; /* longest wait for its rack */
};

/* Whether a task that fits nowhere may reserve room in this class. */
static bool reserves(const struct sched_task *t, enum deadline_class class)
{
	switch (class) {
	case CLASS_OVERDUE_SERVICE:
		return false;
	case CLASS_OVERDUE_RESERVE:
	case CLASS_ON_TIME:
		return true;
	default:
		return t->reserved_on != 0;
	}
}

/* CPU for further services, if those on silent workers have to be placed. */
static int64_t spare_milli(struct sched *s, uint32_t service)
{
	if (s->spare_known && s->spare_service == service)
		return s->spare_milli;
	s->spare_known = true;
	s->spare_service = service;
	s->spare_milli = 0;
	for (uint32_t i = 0; i < s->worker_count; i++) {
		const struct sched_worker *w = &s->workers[i];

		if (w->service != service)
			continue;
		if (available(s, w))
			s->spare_milli += w->capacity.cpu_milli;
		if (available(s, w) || !w->responsive)
			s->spare_milli -= w->service_milli;
	}
	return s->spare_milli;
}

/*
 * Load pattern: many workers are lost, and services that are submitted before
 * their leases are over take the room for theirs. Whether the task, of a
 * service that never ran, waits until it is known if these come back.
 */
static bool waits_for_silent(struct sched *s, const struct job *j,
			     const struct sched_task *t)
{
	const struct job_step *step = &j->spec.steps[t->step];

	return s->silent_services && sched_task_is_new_service(s, t) &&
	       !step->best_effort &&
	       spare_milli(s, j->service) < (int64_t)step->demand.cpu_milli;
}

static void place_task(struct sched *s, struct job *j, struct sched_task *t,
		       enum deadline_class class, struct step_result *r)
{
	bool probation = sched_needs_probation(t);
	uint32_t w = SCHED_NONE;

	if (waits_for_silent(s, j, t)) {
		r->unplaced++;
		return;
	}
	/* The tasks of a step have equal demands. */
	if (!r->unplaced || probation)
		w = choose_worker(s, j, t, r->rack_wait_us);
	if (w == SCHED_NONE) {
		/* The others of the step may fit. */
		r->unplaced += !probation;
		r->suspects += probation;
		if (reserves(t, class) &&
		    !waits_for_rack(s, t, r->rack_wait_us) &&
		    (t->reserved_on || !r->no_room))
			r->no_room = !sched_reserve(s, j, t) || r->no_room;
		return;
	}
	if (sched_task_is_new_service(s, t)) {
		r->new_placed++;
		s->spare_milli -= j->spec.steps[t->step].demand.cpu_milli;
	}
	sched_task_place(s, t, w);
	t->reserved_on = 0;
	r->last_placed = t;
	r->placed++;
}

/* Logs the placement of tasks of a step and the inputs of the decision. */
static void log_step_placement(const struct sched *s, const struct job *j,
			       const struct step_result *r, uint32_t waiting)
{
	const struct sched_task *t = r->last_placed;
	const struct job_step *step = &j->spec.steps[t->step];

	log_event(LOG_INFO, "step-placed",
		  "job=%s step=%u placed=%u new_services=%u waiting=%u "
		  "last_worker=%s cpu=%u memory_mb=%u image=%s age_ms=%llu "
		  "deadline_in_ms=%lld backlog=%u",
		  j->spec.id, t->step, r->placed, r->new_placed, waiting,
		  s->workers[t->worker].identity->id, step->demand.cpu_milli,
		  step->demand.memory_mb, *step->image ? step->image : "-",
		  (unsigned long long)sched_job_age_us(s, j) / 1000,
		  (long long)(j->deadline_wall_ms - s->wall_ms), s->backlog);
}

/* Whether a further task of the step that does not fit may reserve its room. */
static bool may_reserve(const struct sched *s, const struct job_step *step)
{
	return !step->best_effort && s->reserved_count < s->reserved_max;
}

/* Whether no task of a batch step can be placed; reads none of its tasks. */
static bool cannot_fit(struct sched *s, const struct job *j,
		       const struct job_step *step)
{
	return step->best_effort && !*step->rack && !j->has_suspect &&
	       known_unmet(s, j, step) && !sched_mostly_idle(s, j->service);
}

static void place_step(struct sched *s, struct job *j, struct sched_task *first,
		       enum deadline_class class)
{
	const struct job_step *step = &j->spec.steps[first->step];
	struct step_result r = { 0 };
	uint32_t waiting;

	if (step->gang) {
		sched_place_gang(s, j, first, reserves(first, class));
		return;
	}
	if (first->wait_logged_us && cannot_fit(s, j, step))
		return;
	if (sched_step_waits_for_rack(s, j, step))
		r.rack_wait_us = sched_rack_wait_us(step);
	if (class <= CLASS_OVERDUE_RESERVE) {
		struct sched_task **list;
		uint32_t n = sched_overdue_tasks(s, first, step->count, &list);

		for (uint32_t i = 0; i < n; i++)
			place_task(s, j, list[i], class, &r);
	} else {
		for (uint32_t i = 0;
		     i < step->count && (!r.unplaced || may_reserve(s, step));
		     i++)
			if (first[i].state == TASK_WAITING &&
			    s->now_us >= first[i].retry_us)
				place_task(s, j, &first[i], class, &r);
	}
	if (r.suspects && class != CLASS_OVERDUE_SERVICE)
		sched_log_probation_wait(s, j, first, r.suspects);
	if (!r.placed && !r.unplaced)
		return;
	waiting = sched_find_occurrence(j, first->occurrence)
			  ->waiting[first->step];
	if (r.placed) {
		first->wait_logged_us = 0;
		log_step_placement(s, j, &r, waiting);
	} else if (class != CLASS_OVERDUE_SERVICE) {
		sched_log_wait(s, j, first, waiting);
	}
}

static void place_job(struct sched *s, struct job *j, enum deadline_class class)
{
	for (uint32_t i = 0; i < j->occurrence_count; i++) {
		uint32_t n = j->occurrences[i].first_task;

		if (!j->occurrences[i].used)
			continue;
		for (uint32_t k = 0; k < j->spec.step_count; k++) {
			if (j->occurrences[i].waiting[k])
				place_step(s, j, &s->tasks[n], class);
			n += j->spec.steps[k].count;
		}
	}
}

static void begin_round(struct sched *s)
{
	sched_reserve_reset(s);
	for (uint32_t i = 0; i < s->worker_count; i++)
		sched_update_room(s, i);
	sched_reserve_for_moves(s);
	s->idle_known = false;
	s->spare_known = false;
	s->starved_starts = 0;
	for (uint32_t i = 0; i < UNMET_BUCKETS; i++)
		s->unmet[i].count = 0;
}

void sched_place(struct sched *s)
{
	struct candidate *list;
	uint32_t n;

	begin_round(s);
	n = sched_list_candidates(s, &list);
	for (uint32_t i = 0; i < n; i++)
		place_job(s, &s->jobs[list[i].job], list[i].class);
	free(list);
	sched_move_stragglers(s);
}

void sched_place_overdue(struct sched *s)
{
	struct candidate *list;
	uint32_t n = sched_list_overdue(s, &list);

	if (n)
		begin_round(s);
	for (uint32_t i = 0; i < n; i++)
		place_job(s, &s->jobs[list[i].job], list[i].class);
	free(list);
}
