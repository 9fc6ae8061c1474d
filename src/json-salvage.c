#include <ctype.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "json-salvage.h"

/* Position in a JSON text; knows strings and brackets only. */
struct scan {
	const char *at, *end;
	int depth;
	bool in_string;
};

/* Passes one byte and returns it. */
static char scan_byte(struct scan *s)
{
	char c = *s->at++;

	if (s->in_string) {
		if (c == '\\' && s->at < s->end)
			s->at++;
		else if (c == '"')
			s->in_string = false;
	} else if (c == '"') {
		s->in_string = true;
	} else if (c == '{' || c == '[') {
		s->depth++;
	} else if (c == '}' || c == ']') {
		s->depth--;
	}
	return c;
}

static void skip_space(struct scan *s)
{
	while (s->at < s->end && isspace((unsigned char)*s->at))
		s->at++;
}

/* Passes a string and returns its length with the quotes, or 0. */
static size_t scan_string(struct scan *s)
{
	const char *begin = s->at;

	if (s->at == s->end || *s->at != '"')
		return 0;
	do
		scan_byte(s);
	while (s->in_string && s->at < s->end);
	return s->in_string ? 0 : (size_t)(s->at - begin);
}

/* Finds a member of an object whose value is a string, with its quotes. */
static const char *find_member(const char *text, size_t len, const char *member,
			       size_t *value_len)
{
	struct scan s = { .at = text, .end = text + len };
	size_t member_len = strlen(member);

	while (s.at < s.end) {
		const char *name = s.at;
		size_t n;

		if (s.depth != 1 || *s.at != '"') {
			scan_byte(&s);
			continue;
		}
		n = scan_string(&s);
		skip_space(&s);
		if (n != member_len + 2 ||
		    strncmp(name + 1, member, member_len) || s.at == s.end ||
		    *s.at != ':')
			continue;
		s.at++;
		skip_space(&s);
		name = s.at;
		*value_len = scan_string(&s);
		return *value_len ? name : NULL;
	}
	return NULL;
}

/* Returns the number of bytes written, at most three. */
static size_t encode_utf8(uint32_t code, char *out)
{
	if (code < 0x80) {
		out[0] = (char)code;
		return 1;
	}
	if (code < 0x800) {
		out[0] = (char)(0xc0 | code >> 6);
		out[1] = (char)(0x80 | (code & 0x3f));
		return 2;
	}
	out[0] = (char)(0xe0 | code >> 12);
	out[1] = (char)(0x80 | (code >> 6 & 0x3f));
	out[2] = (char)(0x80 | (code & 0x3f));
	return 3;
}

static bool read_hex4(const char *p, const char *end, uint32_t *code)
{
	char digits[5] = "";

	if (end - p < 4)
		return false;
	memcpy(digits, p, 4);
	for (int i = 0; i < 4; i++)
		if (!isxdigit((unsigned char)digits[i]))
			return false;
	*code = (uint32_t)strtoul(digits, NULL, 16);
	return true;
}

/* Returns the number of bytes that an escape becomes; *p is after its '\'. */
static size_t decode_escape(const char **p, const char *end, char out[4])
{
	static const char from[] = "bfnrt", to[] = "\b\f\n\r\t";
	const char *match;
	uint32_t code, low;

	if (**p != 'u' || !read_hex4(*p + 1, end, &code)) {
		match = strchr(from, **p);
		out[0] = match ? to[match - from] : **p;
		(*p)++;
		return 1;
	}
	*p += 5;
	if (code >= 0xdc80 && code <= 0xdcff) {
		out[0] = (char)(code & 0xff);
		return 1;
	}
	if (code >= 0xd800 && code <= 0xdbff && end - *p >= 6 &&
	    (*p)[0] == '\\' && (*p)[1] == 'u' && read_hex4(*p + 2, end, &low) &&
	    low >= 0xdc00 && low <= 0xdfff) {
		*p += 6;
		code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
		out[0] = (char)(0xf0 | code >> 18);
		out[1] = (char)(0x80 | (code >> 12 & 0x3f));
		out[2] = (char)(0x80 | (code >> 6 & 0x3f));
		out[3] = (char)(0x80 | (code & 0x3f));
		return 4;
	}
	return encode_utf8(code, out);
}

/* Copies a string without its quotes; "" if it is too long or has a NUL. */
static void decode_name(const char *text, size_t len,
			char name[JSON_SALVAGE_NAME_BYTES])
{
	const char *p = text + 1, *end = text + len - 1;
	size_t n = 0;

	while (p < end) {
		char bytes[4] = { *p++ };
		size_t count = 1;

		if (bytes[0] == '\\' && p < end)
			count = decode_escape(&p, end, bytes);
		if (!bytes[0] || n + count >= JSON_SALVAGE_NAME_BYTES) {
			n = 0;
			break;
		}
		memcpy(name + n, bytes, count);
		n += count;
	}
	name[n] = '\0';
}

static bool is_decodable(const char *text, size_t len)
{
	json_t *o =
		json_loadb(text, len, JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);

	json_decref(o);
	return o != NULL;
}

/* Appends an element of an array, or what replaces it. */
static void append_element(struct buffer *out, const char *text, size_t len,
			   const char *member, struct json_salvage *s)
{
	const char *name;
	size_t name_len = 0;

	s->last_name[0] = '\0';
	if (is_decodable(text, len)) {
		buffer_append(out, text, len);
		return;
	}
	s->replaced++;
	name = find_member(text, len, member, &name_len);
	if (name)
		decode_name(name, name_len, s->last_name);
	if (!name || !is_decodable(name, name_len)) {
		buffer_append_str(out, "null");
		return;
	}
	buffer_printf(out, "{\"%s\":", member);
	buffer_append(out, name, name_len);
	buffer_append_str(out, "}");
}

static bool is_blank(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!isspace((unsigned char)text[i]))
			return false;
	return true;
}

/* Replaces the elements at depth two that can't be decoded. */
static void replace_elements(const char *text, size_t len, const char *member,
			     struct json_salvage *s, struct buffer *out)
{
	struct scan scan = { .at = text, .end = text + len };
	const char *element = NULL; /* begin of the present one */
	const char *copied = text;

	while (scan.at < scan.end) {
		bool in_string = scan.in_string;
		char c = scan_byte(&scan);
		size_t element_len;

		if (in_string)
			continue;
		if (c == '[' && scan.depth == 2) {
			element = scan.at;
			continue;
		}
		if (!element || !((c == ',' && scan.depth == 2) ||
				  (c == ']' && scan.depth == 1)))
			continue;
		element_len = (size_t)(scan.at - 1 - element);
		buffer_append(out, copied, (size_t)(element - copied));
		if (is_blank(element, element_len))
			buffer_append(out, element, element_len);
		else
			append_element(out, element, element_len, member, s);
		copied = scan.at - 1;
		element = c == ',' ? scan.at : NULL;
	}
	buffer_append(out, copied, (size_t)(scan.end - copied));
}

json_t *json_salvage_load(const char *text, size_t len, const char *member,
			  struct json_salvage *s)
{
	struct buffer copy = BUFFER_INIT;
	json_t *root = json_loadb(text, len, JSON_ALLOW_NUL, NULL);

	memset(s, 0, sizeof(*s));
	if (root || !len)
		return root;
	replace_elements(text, len, member, s, &copy);
	if (s->replaced)
		root = json_loadb(copy.data, copy.len, JSON_ALLOW_NUL, NULL);
	buffer_free(&copy);
	return root;
}
