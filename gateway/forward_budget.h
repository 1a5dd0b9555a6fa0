#ifndef GATEWAY_FORWARD_BUDGET_H
#define GATEWAY_FORWARD_BUDGET_H

#include <stdbool.h>

/* The retry budget of a request's service, which all gateways keep together
   (core/attempt_budget.h). */

struct forward;

/* Records a request, which adds to the budget. */
void forward_budget_record(struct forward *forward);

/* Whether the request may be sent now: its first attempt always, a further one
   if the budget allows it, which is charged. */
bool forward_budget_take_retry(struct forward *forward);

#endif
