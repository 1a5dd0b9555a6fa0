#ifndef OPERATOR_FLEET_STATUS_H
#define OPERATOR_FLEET_STATUS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "operator/options.h"

/* Which generation each listed process has: agents tell it in their greeting,
   entries at GET /healthz. */

struct store;

struct process_status {
    char *instance;
    const char *role; /* "agent" or "entry" */
    bool reached;
    uint64_t generation; /* 0: none, or not reached */
};

/* Asks all listed processes. Returns struct process_status; free with
   g_ptr_array_free(). NULL with an error if there is no list. */
GPtrArray *fleet_status_read(const struct options *options,
                             struct store *store, GError **error);

/* How many have at least this generation. */
uint32_t fleet_status_count(const GPtrArray *processes, uint64_t generation);

void fleet_status_print(const GPtrArray *processes, uint64_t generation,
                        bool json);

#endif
