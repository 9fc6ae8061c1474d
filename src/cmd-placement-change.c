#include "cmd-placement.h"

int cmd_placement_change(int argc, char **argv)
{
	return cmd_placement_send(argc, argv, "placement change",
				  "Changes the given fields of a placement.",
				  "PUT");
}
