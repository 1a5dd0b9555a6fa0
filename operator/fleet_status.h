#ifndef OPERATOR_FLEET_STATUS_H
#define OPERATOR_FLEET_STATUS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "operator/options.h"

/* Asks each process that the platform lists for the generation of its
   configuration: the entries, which accept callers' requests, and the agents,
   which front an endpoint each. An agent sends it in its hello, the first
   message of a link, an entry in its response to GET /healthz. */

struct store;

struct process_status {
    char *instance;
    const char *role; /* "agent" or "entry" */
    bool reached;
    uint64_t generation; /* 0: no configuration, or not reached */
};

/* Queries all listed processes. Blocks up to 2 s for the agents together, then
   up to 2 s for connecting to each entry and for each read from it. Returns an
   array of struct process_status that owns its elements, free it with
   g_ptr_array_unref(). Returns NULL with an error if the lists can't be read.
 */
GPtrArray *fleet_status_read(const struct options *options,
                             struct store *store, GError **error);

/* Counts the reached processes that have this generation or a later one. */
uint32_t fleet_status_count(const GPtrArray *processes, uint64_t generation);

/* The latest generation that a reached process has; 0: none has one. It is
   above the store's if that has come back from an older copy of itself. */
uint64_t fleet_status_latest(const GPtrArray *processes);

/* Prints how many processes have this generation or a later one, and those
   that don't; with json, prints the status of each process. */
void fleet_status_print(const GPtrArray *processes, uint64_t generation,
                        bool json);

#endif
