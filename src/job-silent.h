#ifndef JOB_SILENT_H
#define JOB_SILENT_H

#include "job-sched.h"

/*
 * NAME
 *	job-silent - the stored record of silent workers
 *
 * DESCRIPTION
 *	The owner stores until when leases last at most: those of each silent
 *	worker, which it names, and those of all others. Each entry VM follows
 *	that record and notes by its own clock when the leases are over: the
 *	record is received later than it was made, so the time of receipt plus
 *	the time left in it is an upper bound.
 *
 *	The bound of the others covers what the owner grants until
 *	SILENT_GRANT_MS after it has built the record. It grants nothing later
 *	unless another record is stored, and nothing before its first one, so
 *	that a record is true until the next one replaces it. A last record, of
 *	an owner that stops as planned, covers no further leases.
 *
 *	A new owner carries the record of its predecessor over in the
 *	transaction of its election: as it has granted nothing yet, what is
 *	known of its predecessors holds for its successor, too.
 *
 *	The value is a msgpack array [format, epoch of the owner,
 *	[[worker id, time left in ms], ...], time left of the other workers,
 *	settled]. The time left of the others is nil if it is not known. A
 *	record is settled if all leases of earlier owners are over as soon as
 *	one that its owner could have granted when it was built. Elements after
 *	the known ones are ignored. Earlier versions write the time left of the
 *	others in last records only, or write no more than three elements.
 *
 * ERRORS
 *	silent_notes_update() returns -1 for a malformed value, with err set to
 *	layer ERROR_LAYER_STORE, code SILENT_RECORD_INVALID.
 */

#define SILENT_RECORD_INVALID 1
/* Workers beyond this size are left out. */
#define SILENT_RECORD_BYTES_MAX 16384u
/* Leases are granted for this long after the last stored record was built. */
#define SILENT_GRANT_MS 2000u

struct silent_note {
	char id[JOB_NAME_BYTES];
	uint64_t end_us; /* CLOCK_BOOTTIME of this process */
};

struct silent_notes {
	uint64_t revision;	/* of the record in the store; 0: none */
	uint64_t epoch;		/* of the owner that wrote it */
	uint64_t others_end_us; /* of the workers not listed; 0: not known */
	bool settled;
	struct silent_note *list;
	uint32_t count;
};

enum silent_record {
	SILENT_RECORD_REMOVE, /* workers may only leave it */
	SILENT_RECORD_ADD,
	SILENT_RECORD_LAST, /* the owner grants no lease any more */
};

/*
 * Collects the record of the owner with this epoch; returns the number of
 * workers that it names.
 */
uint32_t silent_record_build(struct sched *s, uint64_t epoch, uint64_t now_us,
			     enum silent_record type, struct buffer *out);
/*
 * Builds the first record of a new owner with this epoch from the one of the
 * owner before it. unknown_ms: time left if that is not known; lease_ms: the
 * longest time left of a lease that is granted now.
 */
void silent_record_carry(const struct silent_notes *n, uint64_t epoch,
			 uint64_t now_us, uint32_t unknown_ms,
			 uint32_t lease_ms, struct buffer *out);

/*
 * Replaces the notes by the record with the given revision, received at now_us.
 * The same revision again, or an earlier one, has no effect: a watch can
 * deliver it later than a read. Returns 0, or -1 with err set and the notes
 * empty.
 */
int silent_notes_update(struct silent_notes *n, uint64_t revision,
			const void *data, size_t len, uint64_t now_us,
			struct error *err);
void silent_notes_clear(struct silent_notes *n);
/*
 * Limits the time of the workers that the record does not name, if it is the
 * settled one of the owner before this epoch. end_us: when the leases are over
 * that this owner may have granted; its process has exited.
 */
void silent_notes_limit_exited(struct silent_notes *n, uint64_t epoch,
			       uint64_t end_us);
/* Replaces the notes by a copy of others. */
void silent_notes_copy(struct silent_notes *n, const struct silent_notes *from);
/*
 * Limits the leases of the workers in the scheduler of the owner with this
 * epoch, if the owner before it wrote the record. A record of an earlier one
 * says nothing: an owner of an earlier version, which did not carry it over,
 * may have granted leases. Returns the number of workers whose leases end
 * earlier by it.
 */
uint32_t silent_notes_apply(const struct silent_notes *n, struct sched *s,
			    uint64_t epoch);

#endif
