#ifndef JSON_SALVAGE_H
#define JSON_SALVAGE_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	json-salvage - decodes lists of which some elements can't be decoded
 *
 * DESCRIPTION
 *	A list may have elements from other writers, and a JSON decoder refuses
 *	a text as a whole: for half of a surrogate pair, bytes that are not
 *	UTF-8, numbers out of range, deep nesting. json_salvage_load() decodes
 *	an object. If it is refused, each element of the arrays that are its
 *	members is decoded by itself; one that is refused is replaced by an
 *	object with its name only, or by null if that can't be decoded either.
 *	An element must have its quotes and brackets in pairs.
 *
 * RETURN VALUES
 *	The object, or NULL if it can't be decoded even so.
 */

#define JSON_SALVAGE_NAME_BYTES 201 /* with the NUL */

struct json_salvage {
	uint32_t replaced; /* elements */
	/*
	 * Name of the last element of the last array if that was replaced, else
	 * "". Half of a surrogate pair that stands for a byte (U+DC80 to
	 * U+DCFF) becomes that byte.
	 */
	char last_name[JSON_SALVAGE_NAME_BYTES];
};

/* member: that holds the name of an element. */
json_t *json_salvage_load(const char *text, size_t len, const char *member,
			  struct json_salvage *s);

#endif
