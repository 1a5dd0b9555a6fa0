#ifndef AGENT_ENDPOINT_CALLS_H
#define AGENT_ENDPOINT_CALLS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/outcome.h"

/* Calls to the endpoint, each on a thread of its own while it runs, with
   flow control towards the entry. Used from the loop thread. */

struct endpoint_calls;
struct loop;
struct work;

/* All on the loop thread; finished comes last, exactly once a call. */
struct endpoint_calls_handlers {
    void (*head)(void *data, struct work *work, uint32_t status,
                 const char *content_type);
    void (*bytes)(void *data, struct work *work, const uint8_t *bytes,
                  size_t count, uint64_t now_ms);
    void (*finished)(void *data, struct work *work, enum outcome outcome,
                     enum reason reason, uint64_t now_ms);
};

struct endpoint_calls *
endpoint_calls_create(struct loop *loop, const char *ip, uint16_t port,
                      const struct endpoint_calls_handlers *handlers,
                      void *data);

/* The work's body must stay until finished. */
void endpoint_calls_start(struct endpoint_calls *calls, struct work *work,
                          uint64_t now_ms);

/* Tells the engine to stop; finished still comes. */
void endpoint_calls_stop(struct endpoint_calls *calls, struct work *work);

/* The entry has consumed the answer up to here. */
void endpoint_calls_confirmed(struct work *work, uint64_t offset);

#endif
