#ifndef AGENT_ENDPOINT_CALLS_H
#define AGENT_ENDPOINT_CALLS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/outcome.h"

/* The agent's HTTP calls to its endpoint. Each runs on a thread of its own.
   Flow control: while the entry that sent the request has more than a window
   of response bytes left to consume, the thread doesn't read on. All functions
   are called on the loop thread. */

struct endpoint_calls;
struct loop;
struct work;

/* Called on the loop thread with the data of endpoint_calls_create(). For each
   call, finished is called last and exactly once. */
struct endpoint_calls_handlers {
    void (*head)(void *data, struct work *work, uint32_t status,
                 const char *content_type);
    void (*bytes)(void *data, struct work *work, const uint8_t *bytes,
                  size_t count, uint64_t now_ms);
    void (*finished)(void *data, struct work *work, enum outcome outcome,
                     enum reason reason, uint64_t now_ms);
};

/* max_kept_bytes: of the responses in progress that can't be repeated, which
   the agent keeps whole. A call that exceeds it fails. */
struct endpoint_calls *endpoint_calls_create(
    struct loop *loop, const char *ip, uint16_t port, uint64_t max_kept_bytes,
    const struct endpoint_calls_handlers *handlers, void *data);

/* Starts the call for the work. The work, its body and texts must stay valid
   until finished is called. */
void endpoint_calls_start(struct endpoint_calls *calls, struct work *work,
                          uint64_t now_ms);

/* Aborts the call and, unless it is of WORK_PLAIN, tells the engine to stop
   it. finished is still called. */
void endpoint_calls_stop(struct endpoint_calls *calls, struct work *work);

/* Tells flow control that the entry has consumed the response body up to this
   offset in bytes. */
void endpoint_calls_consumed(struct work *work, uint64_t offset);

#endif
