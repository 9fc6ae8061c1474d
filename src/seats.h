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
 *	The value of the key waxwing/D/seats/Z and the rules for changing it
 *	(docs/design.md 5.5). No input, output or clock. A seat is named
 *	"ID/STARTED", so that a restarted process does not take the slots of
 *	requests that it sent before.
 *
 *	A seat that is given up leaves its place empty (""), and the next one
 *	that is taken fills it: all others keep their index and number, and so
 *	all of their slots. seats_compact() removes empty places that stayed.
 *
 *	A change keeps the last confirmed split in previous. Until the value
 *	is marked as confirmed, everybody uses only slots that are theirs in
 *	both splits; so nobody exceeds the last confirmed one, however many
 *	changes follow each other. Only the mark in the store lets a seat grow.
 */

#define SEATS_MAX 16
#define SEAT_NAME_BYTES 96
#define SEATS_FORMAT 1

struct seats {
	uint64_t revision; /* 0: the key does not exist */
	bool confirmed;
	uint32_t count; /* empty places included */
	char names[SEATS_MAX][SEAT_NAME_BYTES];
	uint32_t previous_count;
	char previous[SEATS_MAX][SEAT_NAME_BYTES];
};

/* What this process knows about the end of the split before. */
struct seats_handover {
	uint64_t revision;
	uint32_t count;
	char names[SEATS_MAX][SEAT_NAME_BYTES];
	bool present[SEATS_MAX]; /* in the split of the revision */
	bool applied[SEATS_MAX];
	uint64_t since_us[SEATS_MAX];
};

enum seats_error { SEATS_MALFORMED = 1, SEATS_NEWER_FORMAT };

void seats_format_name(char out[SEAT_NAME_BYTES], const char *id,
		       uint64_t started_us);

/* Copies the id of a seat's name. */
void seats_parse_id(const char *name, char out[64]);

/* Returns 0, or -1 with err set; a newer format is an error. */
int seats_parse(const char *text, size_t len, struct seats *s,
		struct error *err);

/* Returns JSON text that the caller frees. */
char *seats_format(const struct seats *s);

/* Returns the index in names, or -1. */
int seats_find(const struct seats *s, const char *name);

/* Add or remove a seat and raise the revision; -1 when nothing changes. */
int seats_add(struct seats *s, const char *name);
int seats_remove(struct seats *s, const char *name);

/* Removes the empty places; -1 when there is none. */
int seats_compact(struct seats *s);

/* Number of places that are held. */
uint32_t seats_count_held(const struct seats *s);

/* Fills this process's part; revision 0 when it holds no seat. */
void seats_get_seat(const struct seats *s, const char *name, struct seat *out);

/* Tells the progress that a value was read at that time. */
void seats_handover_update(struct seats_handover *p, const struct seats *s,
			   uint64_t now_us);

/* A seat applied the revision and its requests above its share ended. */
void seats_handover_set_applied(struct seats_handover *p, const char *name,
				uint64_t revision);

/*
 * Tells whether the value may be marked as confirmed: each seat of the split
 * before applied it, or wait_us passed since it could last begin a request.
 */
bool seats_handover_done(const struct seats_handover *p, const struct seats *s,
			 uint64_t wait_us, uint64_t now_us);

/*
 * The same when each target was seen to run nothing after idle_us: a seat that
 * was given up lease_us before that has no request left.
 */
bool seats_handover_idle(const struct seats_handover *p, const struct seats *s,
			 uint64_t lease_us, uint64_t idle_us);

#endif
