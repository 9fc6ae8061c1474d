#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "error.h"

static const char *const layer_names[] = {
	[ERROR_LAYER_NONE] = "none",
	[ERROR_LAYER_SYSTEM] = "system",
	[ERROR_LAYER_SETTINGS] = "settings",
	[ERROR_LAYER_SHEET] = "sheet",
	[ERROR_LAYER_HTTP] = "http",
	[ERROR_LAYER_PLATFORM] = "platform",
	[ERROR_LAYER_STORE] = "store",
	[ERROR_LAYER_PEERS] = "peers",
	[ERROR_LAYER_CORE] = "core",
	[ERROR_LAYER_KERNEL] = "kernel",
	[ERROR_LAYER_COMMAND] = "command",
};

void error_clear(struct error *err)
{
	memset(err, 0, sizeof(*err));
}

int error_set(struct error *err, enum error_layer layer, int code,
	      const char *fmt, ...)
{
	va_list ap;

	err->layer = layer;
	err->code = code;
	va_start(ap, fmt);
	vsnprintf(err->message, sizeof(err->message), fmt, ap);
	va_end(ap);
	return -1;
}

int error_wrap(struct error *err, enum error_layer layer, int code,
	       const char *fmt, ...)
{
	char cause[ERROR_MESSAGE_BYTES];
	size_t n;
	va_list ap;

	memcpy(cause, err->message, sizeof(cause));
	err->layer = layer;
	err->code = code;
	va_start(ap, fmt);
	vsnprintf(err->message, sizeof(err->message), fmt, ap);
	va_end(ap);
	n = strlen(err->message);
	snprintf(err->message + n, sizeof(err->message) - n, ": %s", cause);
	return -1;
}

const char *error_layer_name(enum error_layer layer)
{
	return layer_names[layer];
}
