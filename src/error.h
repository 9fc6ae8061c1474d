#ifndef ERROR_H
#define ERROR_H

/*
 * NAME
 *	error - error values with layer, code and message
 *
 * DESCRIPTION
 *	Callers pass a struct error to functions that can fail; on failure the
 *	function sets it and returns -1. A layer converts errors of the layers
 *	below into its own with error_wrap(), so that a caller only sees codes
 *	of the layer that it called.
 *
 * UNITS
 *	Messages are truncated to ERROR_MESSAGE_BYTES - 1 bytes.
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
	int code; /* defined by the layer; 0: no error */
	char message[ERROR_MESSAGE_BYTES];
};

void error_clear(struct error *err);

/* Sets err. Always returns -1, for use as in "return error_set(...)". */
int error_set(struct error *err, enum error_layer layer, int code,
	      const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/*
 * Converts err, set by a lower layer, into an error of the given layer. The
 * new message is the formatted text, ": " and the old message. Returns -1.
 */
int error_wrap(struct error *err, enum error_layer layer, int code,
	       const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/* Returns a static string. */
const char *error_layer_name(enum error_layer layer);

#endif
