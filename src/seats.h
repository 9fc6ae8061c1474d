#ifndef SEATS_H
#define SEATS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"
#include "svc-members.h"

/*
 * NAME
 *	seats - the split of a zone's targets between its entry VMs
 *
 * DESCRIPTION
 *	A seat is an entry VM's position in the split of its zone's targets:
 *	seat INDEX of COUNT owns a fixed part of each target's slots. The
 *	seats of zone Z in deployment D are stored under waxwing/D/seats/Z.
 *	This file holds the format of that value and the rules for changing it
 *	(docs/design.md 5.5), without I/O or a clock. A seat is named
 *	"ID/STARTED", so that a restarted process does not reuse slots that
 *	requests of its previous incarnation still occupy.
 *
 *	Releasing a seat leaves its position empty (""), and the next process
 *	that joins fills it: all others keep their index and the count, and so
 *	all of their slots. seats_compact() removes positions that stay empty.
 *
 *	A change keeps the last confirmed split in previous. Until the value
 *	is marked as confirmed, each process uses only slots that it owns in
 *	both splits, so none exceeds the last confirmed split, however many
 *	changes follow each other. A process gains slots only when the stored
 *	value is confirmed.
 */

#define SEATS_MAX 16
#define SEAT_NAME_BYTES 96
#define SEATS_FORMAT 1

struct seats {
	uint64_t revision; /* 0: the key does not exist */
	bool confirmed;
	uint32_t count; /* positions, empty ones included */
	char names[SEATS_MAX][SEAT_NAME_BYTES];
	uint32_t previous_count;
	char previous[SEATS_MAX][SEAT_NAME_BYTES];
};

/*
 * This process's view of the handover from the previous split: which of its
 * seats have stopped using slots that they don't own in the new one.
 */
struct seats_handover {
	uint64_t revision;
	uint32_t count;
	char names[SEATS_MAX][SEAT_NAME_BYTES];
	bool present[SEATS_MAX];      /* still has a seat in this revision */
	bool applied[SEATS_MAX];      /* uses only slots of this revision */
	uint64_t since_us[SEATS_MAX]; /* start of the wait for the seat */
};

enum seats_error { SEATS_MALFORMED = 1, SEATS_NEWER_FORMAT };

void seats_format_name(char out[SEAT_NAME_BYTES], const char *id,
		       uint64_t started_us);

/* Copies the member id from a seat's name. */
void seats_parse_id(const char *name, char out[64]);

/* Returns 0, or -1 with err set; also fails on a newer format. */
int seats_parse(const char *text, size_t len, struct seats *s,
		struct error *err);

/* Returns JSON text that the caller frees. */
char *seats_format(const struct seats *s);

/* Returns the index in names, or -1. */
int seats_find(const struct seats *s, const char *name);

/* Adds or removes a seat and increments the revision; -1 if nothing changes. */
int seats_add(struct seats *s, const char *name);
int seats_remove(struct seats *s, const char *name);

/* Removes the empty positions; -1 if there are none. */
int seats_compact(struct seats *s);

/* Returns the number of positions that are not empty. */
uint32_t seats_count_held(const struct seats *s);

/* Fills in the seat of that name; its revision is 0 if there is none. */
void seats_get_seat(const struct seats *s, const char *name, struct seat *out);

/* Updates the handover for a value that was read at now_us. */
void seats_handover_update(struct seats_handover *h, const struct seats *s,
			   uint64_t now_us);

/*
 * Records that a seat applied the revision: its requests on slots that it no
 * longer owns have ended.
 */
void seats_handover_set_applied(struct seats_handover *h, const char *name,
				uint64_t revision);

/*
 * Returns whether the value may be marked as confirmed: each seat of the
 * previous split applied it, or wait_us passed since it could last start a
 * request.
 */
bool seats_handover_done(const struct seats_handover *h, const struct seats *s,
			 uint64_t wait_us, uint64_t now_us);

/*
 * Returns the same, given that each target was observed to be idle after
 * idle_us: a seat that was released at least lease_us before has no requests
 * left.
 */
bool seats_handover_idle(const struct seats_handover *h, const struct seats *s,
			 uint64_t lease_us, uint64_t idle_us);

#endif
