#ifndef CONFIG_VALUE_H
#define CONFIG_VALUE_H

#include <stdint.h>

#include "sheet.h"

/*
 * NAME
 *	config-value - serialization of a stored configuration
 *
 * DESCRIPTION
 *	The value is JSON with the format version, the revision, the nonces of
 *	the last changes and the sheet. The nonces allow a process that missed
 *	the store's reply to find out whether its change was stored, even if
 *	other changes followed.
 */

#define CONFIG_FORMAT_VERSION 1
#define CONFIG_NONCES_MAX 16

struct config_value {
	uint64_t revision;
	uint32_t nonce_count;
	uint64_t nonces[CONFIG_NONCES_MAX]; /* of revision, revision - 1, ... */
	struct sheet *sheet;
	char *json; /* canonical sheet */
};

/*
 * Returns 0, or -1 with err set to CONFIG_MALFORMED or CONFIG_NEWER_FORMAT.
 * Free v with config_value_free().
 */
int config_value_parse(const char *text, size_t len, struct config_value *v,
		       struct error *err);

/* Returns the value as text; the caller frees it. */
char *config_value_format(const struct config_value *v);

/* Returns the revision stored with a nonce, or 0 if there is none. */
uint64_t config_value_find_nonce(const struct config_value *v, uint64_t nonce);
void config_value_free(struct config_value *v);

#endif
