#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "config-value.h"
#include "svc-config.h"

static void parse_nonces(json_t *list, struct config_value *v);

/* Nonces are stored as text because JSON has no unsigned 64-bit integers. */
static void parse_nonces(json_t *list, struct config_value *v)
{
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		const char *text = json_string_value(item);

		if (!text || v->nonce_count == CONFIG_NONCES_MAX)
			return;
		v->nonces[v->nonce_count++] = strtoull(text, NULL, 16);
	}
}

int config_value_parse(const char *text, size_t len, struct config_value *v,
		       struct error *err)
{
	json_t *root, *sheet, *nonces;
	json_int_t revision;
	char *sheet_text = NULL;
	int format = 0, ret = -1;

	memset(v, 0, sizeof(*v));
	root = json_loadb(text, len, 0, NULL);
	if (json_unpack(root, "{s:i}", "format", &format) == 0 &&
	    format > CONFIG_FORMAT_VERSION) {
		error_set(err, ERROR_LAYER_CORE, CONFIG_NEWER_FORMAT,
			  "the stored configuration has format %d; this "
			  "version supports up to %d",
			  format, CONFIG_FORMAT_VERSION);
		goto out;
	}
	if (json_unpack(root, "{s:I, s:o, s:o}", "revision", &revision,
			"nonces", &nonces, "sheet", &sheet) < 0 ||
	    revision < 1 || format < 1) {
		error_set(err, ERROR_LAYER_CORE, CONFIG_MALFORMED,
			  "the stored configuration is malformed");
		goto out;
	}
	sheet_text = json_dumps(sheet, JSON_COMPACT);
	v->sheet = sheet_from_json(sheet_text, strlen(sheet_text), err);
	if (!v->sheet) {
		error_wrap(err, ERROR_LAYER_CORE, CONFIG_MALFORMED,
			   "the stored sheet is malformed");
		goto out;
	}
	v->revision = (uint64_t)revision;
	v->json = sheet_to_json(v->sheet);
	parse_nonces(nonces, v);
	ret = 0;
out:
	free(sheet_text);
	json_decref(root);
	return ret;
}

char *config_value_format(const struct config_value *v)
{
	struct buffer b = BUFFER_INIT;

	buffer_printf(&b,
		      "{\"format\":%d,\"revision\":%" PRIu64 ",\"nonces\":[",
		      CONFIG_FORMAT_VERSION, v->revision);
	for (uint32_t i = 0; i < v->nonce_count; i++)
		buffer_printf(&b, "%s\"%016" PRIx64 "\"", i ? "," : "",
			      v->nonces[i]);
	buffer_printf(&b, "],\"sheet\":%s}", v->json);
	return buffer_detach(&b, NULL);
}

uint64_t config_value_find_nonce(const struct config_value *v, uint64_t nonce)
{
	for (uint32_t i = 0; i < v->nonce_count; i++)
		if (i < v->revision && v->nonces[i] == nonce)
			return v->revision - i;
	return 0;
}

void config_value_free(struct config_value *v)
{
	sheet_free(v->sheet);
	free(v->json);
	memset(v, 0, sizeof(*v));
}
