#ifndef SHEET_DIFF_H
#define SHEET_DIFF_H

#include <jansson.h>

#include "sheet.h"

/*
 * NAME
 *	sheet-diff - differences between two sheets
 *
 * DESCRIPTION
 *	Returns a JSON array of {"record","name","change"}, where change is
 *	"added", "removed" or "changed"; at most SHEET_DIFF_MAX items.
 */

#define SHEET_DIFF_MAX 100

json_t *sheet_diff(const struct sheet *from, const struct sheet *to);

#endif
