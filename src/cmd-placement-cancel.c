#include "cmd-placement.h"

int cmd_placement_cancel(int argc, char **argv)
{
	return cmd_placement_by_id(argc, argv, "placement cancel",
				   "Cancels a placement and stops its tasks.",
				   "DELETE");
}
