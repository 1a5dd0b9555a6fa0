#ifndef REVIEW_SLOW_CALLERS_H
#define REVIEW_SLOW_CALLERS_H

#include <stddef.h>

/* Callers of gateway 1 that read a stream slowly, and well within its time, on
   connections that they have used before. A SIGHUP of the gateway, 0.3 s
   before the requests, is the planned work beside which the rule LOST counts
   each connection that ends without a complete answer. */

struct slow_callers {
    const char *config; /* the operator's configuration */
    const char *target; /* of the stream */
    int receive_buffer_bytes;
    size_t rate_bytes_per_s;
    int limit_ms; /* the deadline, and the route's timeout_ms */
};

/* Runs the case and ends the process. */
void slow_callers_run(int argc, char **argv,
                      const struct slow_callers *settings);

#endif
