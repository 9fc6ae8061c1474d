#ifndef CMD_SHEET_H
#define CMD_SHEET_H

#include "cmd.h"
#include "sheet.h"

/*
 * Reads and parses a sheet file, or standard input for "-". Returns CMD_OK with
 * the text and the sheet, or CMD_INVALID_FILE after printing the errors.
 */
int cmd_sheet_load(const struct cmd_options *o, const char *path,
		   struct buffer *text, struct sheet **s);

#endif
