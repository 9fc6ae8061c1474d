#include "cmd-placement.h"

int cmd_placement_create(int argc, char **argv)
{
	return cmd_placement_store(argc, argv, "placement create",
				   "Creates a placement.", "POST");
}
