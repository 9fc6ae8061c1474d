#ifndef JOB_SILENT_H
#define JOB_SILENT_H

#include "job-sched.h"

/*
 * NAME
 *	job-silent - the stored record of silent workers
 *
 * DESCRIPTION
 *	The owner stores which workers are silent and how long their leases
 *	last at most (job-sched.h). Each entry VM follows that record and notes
 *	by its own clock when the leases are over: the record is received later
 *	than it was made, so the time of receipt plus the time left in it is an
 *	upper bound.
 *
 *	An owner that stops as planned writes a last record and grants no lease
 *	from then on. It also has the time until the leases of all workers that
 *	it does not name are over.
 *
 *	The value is a msgpack array [format, epoch of the owner,
 *	[[worker id, time left in ms], ...], time left of the other workers,
 *	settled]. The time left of the others is nil unless it is a last record.
 *	A record is settled if no lease of an earlier owner can be granted any
 *	more. Elements after the known ones are ignored, and earlier versions
 *	write and read the first three.
 *
 * ERRORS
 *	silent_notes_update() returns -1 for a malformed value, with err set to
 *	layer ERROR_LAYER_STORE, code SILENT_RECORD_INVALID.
 */

#define SILENT_RECORD_INVALID 1
/* Workers beyond this size are left out. */
#define SILENT_RECORD_BYTES_MAX 16384u

struct silent_note {
	char id[JOB_NAME_BYTES];
	uint64_t end_us; /* CLOCK_BOOTTIME of this process */
};

struct silent_notes {
	uint64_t revision;	/* of the record in the store; 0: none */
	uint64_t epoch;		/* of the owner that wrote it */
	uint64_t others_end_us; /* of a last record; 0: it is not one */
	bool settled;
	struct silent_note *list;
	uint32_t count;
};

enum silent_record {
	SILENT_RECORD_REMOVE, /* workers may only leave it */
	SILENT_RECORD_ADD,
	SILENT_RECORD_LAST, /* the owner grants no lease any more */
};

/* Collects the record of the owner with this epoch; returns its workers. */
uint32_t silent_record_build(struct sched *s, uint64_t epoch, uint64_t now_us,
			     enum silent_record type, bool settled,
			     struct buffer *out);

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
 * Limits the leases of the workers in the scheduler of the owner with this
 * epoch, if the owner before it wrote the record. A record of an earlier one
 * says nothing: an owner between them may have granted leases. Returns the
 * number of workers whose leases end earlier by it.
 */
uint32_t silent_notes_apply(const struct silent_notes *n, struct sched *s,
			    uint64_t epoch);

/*
 * Limits the leases of all workers that the record does not name, if no owner
 * has granted one after granted_us and the record of the owner before this one
 * is settled. Returns the same as above.
 */
uint32_t silent_notes_apply_exited(const struct silent_notes *n,
				   struct sched *s, uint64_t epoch,
				   uint64_t granted_us);

#endif
