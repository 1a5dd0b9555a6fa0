#ifndef AGENT_HEALTH_H
#define AGENT_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* A thread that asks the endpoint for its health at an interval. Before it
   reports a model engine healthy for the first time it releases the streams
   that a predecessor of this agent has left there. */

struct health;
struct loop;

struct health_target {
    const char *ip;
    uint16_t port;
    const char *path;
    uint64_t interval_ms;
};

/* changed runs on the loop thread; the state is unhealthy at first. */
struct health *
health_start(struct loop *loop, const struct health_target *target,
             void (*changed)(void *data, bool healthy, uint64_t now_ms),
             void *data);

/* A call found the endpoint unreachable: it counts as unhealthy until the next
   check succeeds, which is then reported. Any thread. */
void health_doubt(struct health *health);

#endif
