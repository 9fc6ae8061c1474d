#include "support-unit.h"
