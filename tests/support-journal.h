#ifndef SUPPORT_JOURNAL_H
#define SUPPORT_JOURNAL_H

/*
 * NAME
 *	support-journal - what a stand-in saw, one JSON object a line
 *
 * DESCRIPTION
 *	journal_event() writes {"at_us":WALL,"event":NAME,...}; the rest of
 *	the object is packed by jansson from fmt, an object such as "{s:s}".
 *	A line goes out in one write(2), so a killed process loses none. Any
 *	thread may call it. Without an open file it does nothing.
 */

/* Appends to the file at path. Returns 0, or -1 with a line on stderr. */
int journal_open(const char *path);
void journal_event(const char *event, const char *fmt, ...);
void journal_close(void);

#endif
