#ifndef AGENT_HEALTH_H
#define AGENT_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* Periodic health checks of the agent's endpoint, on a thread of their own.
   Before the endpoint is first reported healthy, the thread releases the
   streams: the requests that an earlier agent process left running in the
   engine. */

struct health;
struct loop;

struct health_target {
    const char *ip;
    uint16_t port;
    const char *path;     /* healthy if GET returns status 200 */
    uint64_t interval_ms; /* between two checks */
};

/* Copies the target. The initial state is unhealthy. One successful check
   makes it healthy, several failed ones in a row unhealthy. changed is called
   on the loop thread at each of these changes. */
struct health *
health_start(struct loop *loop, const struct health_target *target,
             void (*changed)(void *data, bool healthy, uint64_t now_ms),
             void *data);

/* Sets the state to unhealthy without calling changed. It is called when a
   call could not reach the endpoint. The next successful check reports it
   healthy. Any thread may call it. */
void health_mark_unhealthy(struct health *health);

#endif
