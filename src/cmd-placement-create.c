#include "cmd-placement.h"

int cmd_placement_create(int argc, char **argv)
{
	return cmd_placement_send(argc, argv, "placement create",
				  "Creates a placement.", "POST");
}
