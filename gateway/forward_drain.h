#ifndef GATEWAY_FORWARD_DRAIN_H
#define GATEWAY_FORWARD_DRAIN_H

#include <stdbool.h>

/* What the forwarder still takes while the process drains, by how long the
   recent requests of the same route took (core/drain_admission.h). */

struct forward;

/* Records the duration of a request whose response is complete. */
void forward_drain_record(struct forward *forward);

/* Whether a request may be begun, whose route and time limit are known.
   Otherwise it is refused as not run, and may be freed on return. */
bool forward_drain_admits(struct forward *forward);

#endif
