#ifndef VERSION_H
#define VERSION_H

#define WAXWING_VERSION "0.1.0"

#endif
