#include <stdlib.h>
#include <string.h>

#include "log-line.h"

/* All event names passed to log_event(), sorted for bsearch(). */
static const char *const events[] = {
	"attempt-failed",
	"batch-relieved",
	"cancellation-marked",
	"cancellation-orphaned",
	"checkpoint-too-long",
	"clients-limited",
	"commit-conflict",
	"commit-rejected",
	"commit-stalled",
	"commit-unanswered",
	"config-apply",
	"config-in-force",
	"config-none",
	"config-older",
	"config-refused",
	"config-unusable",
	"drain-begin",
	"drain-end",
	"drain-requested",
	"election-lost",
	"evacuation-began",
	"evacuation-ended",
	"evacuation-withdrawn",
	"follow-restored",
	"follow-resync",
	"follow-trouble",
	"gang-reserves",
	"http",
	"intake-store-away",
	"intake-store-back",
	"job-cancelled",
	"job-ended",
	"job-malformed",
	"job-received",
	"job-set-aside",
	"jobs-deferred",
	"load-malformed",
	"log-dropped",
	"log-limited",
	"log-may-block",
	"member-down",
	"member-forgotten",
	"member-not-registered",
	"member-registered",
	"member-table-full",
	"member-up",
	"no-thread",
	"occurrence-parked",
	"operator-denied",
	"operator-key-unknown",
	"order-lost",
	"order-refused",
	"order-without-worker",
	"out-of-memory",
	"overload",
	"overload-over",
	"owner-acting",
	"owner-elected",
	"owner-fenced",
	"owner-lease-ended",
	"owner-replaced",
	"owner-status",
	"owner-stepped-down",
	"pairs-not-restored",
	"pause-detected",
	"paused",
	"peer-connect-failed",
	"peer-given-up",
	"peer-malformed",
	"peer-named",
	"peer-refused",
	"peer-table-full",
	"placement",
	"placement-owner",
	"placement-reply-too-large",
	"planned-stop",
	"progress-malformed",
	"progress-refused",
	"refusal-not-stored",
	"refuse",
	"relay-call-expired",
	"relay-call-overdue",
	"relay-disconnected",
	"relay-joined",
	"relay-lost",
	"relay-malformed",
	"relay-start-refused",
	"relay-suspended",
	"request-answered",
	"request-refused",
	"route",
	"seat",
	"seat-changed",
	"seat-departed",
	"seat-revalidated",
	"seats-full",
	"seats-unusable",
	"seats-write",
	"seq-malformed",
	"service-started",
	"session-ended",
	"settings-changed",
	"settings-fault",
	"settings-need-restart",
	"settings-readable",
	"settings-refused",
	"settings-reloaded",
	"shard-handed-over",
	"shard-load-failed",
	"shard-lost",
	"shard-owned",
	"shard-released",
	"shards-malformed",
	"silent-malformed",
	"silent-recorded",
	"silent-taken-over",
	"start-failed",
	"started",
	"starts-resumed",
	"starts-withheld",
	"step-done",
	"step-placed",
	"step-waits",
	"step-waits-for",
	"step-waits-for-probation",
	"stopped",
	"store-call-failed",
	"store-items-odd",
	"store-key-unknown",
	"store-malformed",
	"store-refused",
	"submission-cancelled",
	"submission-late",
	"submission-refused",
	"submissions-resumed",
	"submissions-stopped",
	"targets-changed",
	"task-absent",
	"task-end-unknown",
	"task-ended",
	"task-given-up",
	"task-loss-resolved",
	"task-moved",
	"task-rates",
	"task-run-lost",
	"task-stray",
	"task-suspected",
	"tasks-preempted",
	"thread-failed",
	"too-many-targets",
	"worker-draining",
	"worker-entry-current",
	"worker-entry-ignored",
	"worker-entry-outdated",
	"worker-listed",
	"worker-no-longer-slow",
	"worker-quarantined",
	"worker-refused",
	"worker-report-outdated",
	"worker-report-refused",
	"worker-reports",
	"worker-silent",
	"worker-slow",
	"worker-tasks-lost",
	"worker-unlisted",
	"workers-crash-together",
};
#define EVENT_COUNT (sizeof(events) / sizeof(events[0]))

/* An event name that may lack a terminating NUL. */
struct event_key {
	const char *name;
	size_t len;
};

static int compare_event(const void *key, const void *entry);

static int compare_event(const void *key, const void *entry)
{
	const struct event_key *k = key;
	const char *name = *(const char *const *)entry;
	int order = strncmp(k->name, name, k->len);

	return order ? order : -(name[k->len] != '\0');
}

bool log_event_is_known(const char *name, size_t len)
{
	struct event_key key = { name, len };

	return bsearch(&key, events, EVENT_COUNT, sizeof(events[0]),
		       compare_event);
}

size_t log_event_count(void)
{
	return EVENT_COUNT;
}

const char *log_event_name(size_t i)
{
	return events[i];
}
