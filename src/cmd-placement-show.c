#include "cmd-placement.h"

int cmd_placement_show(int argc, char **argv)
{
	return cmd_placement_by_id(argc, argv, "placement show",
				   "Shows a placement and its tasks.", "GET");
}
