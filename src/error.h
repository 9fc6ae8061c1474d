#ifndef ERROR_H
#define ERROR_H

/*
 * NAME
 *	error - errors that name their layer
 *
 * DESCRIPTION
 *	A caller passes a struct error down. The function that fails fills it
 *	and returns -1. A layer that calls another turns the error of that
 *	layer into one of its own with error_wrap(), so that a caller only
 *	sees codes of the layer that it called.
 *
 * UNITS
 *	The message is cut at ERROR_MESSAGE_BYTES - 1 bytes.
 */

#define ERROR_MESSAGE_BYTES 256

enum error_layer {
	ERROR_LAYER_NONE,
	ERROR_LAYER_SYSTEM,
	ERROR_LAYER_SETTINGS,
	ERROR_LAYER_SHEET,
	ERROR_LAYER_HTTP,
	ERROR_LAYER_PLATFORM,
	ERROR_LAYER_STORE,
	ERROR_LAYER_PEERS,
	ERROR_LAYER_CORE,
	ERROR_LAYER_KERNEL,
	ERROR_LAYER_COMMAND,
};

struct error {
	enum error_layer layer;
	int code; /* meaning defined by the layer; 0 is no error */
	char message[ERROR_MESSAGE_BYTES];
};

/* Clears err. */
void error_clear(struct error *err);

/* Fills err and returns -1, so that callers can return its result. */
int error_set(struct error *err, enum error_layer layer, int code,
	      const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/*
 * Turns err, set by a lower layer, into an error of this layer. The new
 * message is the formatted text, ": " and the old message. Returns -1.
 */
int error_wrap(struct error *err, enum error_layer layer, int code,
	       const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/* Returns the layer's name, a static string. */
const char *error_layer_name(enum error_layer layer);

#endif
