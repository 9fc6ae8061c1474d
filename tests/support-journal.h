#ifndef SUPPORT_JOURNAL_H
#define SUPPORT_JOURNAL_H

/*
 * NAME
 *	support-journal - event journal of a fake service, as JSON lines
 *
 * DESCRIPTION
 *	journal_event() writes {"at_us":WALL,"event":NAME,...}. The other
 *	members are packed by jansson from fmt, which describes an object,
 *	such as "{s:s}". Each line is written unbuffered with one write(2), so
 *	that no event is lost if the process is killed. It is thread-safe, and
 *	does nothing while no journal is open.
 */

/* Opens path for appending. Returns 0, or -1 with a message on stderr. */
int journal_open(const char *path);
void journal_event(const char *event, const char *fmt, ...);
void journal_close(void);

#endif
