#ifndef OPERATOR_EXPLAIN_H
#define OPERATOR_EXPLAIN_H

#include "operator/options.h"

/* Asks running gateways what they would do now with a request, and prints
   their answers. */

struct explain_options;

/* Blocks for up to 2 s per gateway. Returns the highest of the statuses of the
   gateways' answers. */
enum operator_exit explain_run(const struct explain_options *options);

#endif
