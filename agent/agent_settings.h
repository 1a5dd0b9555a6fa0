#ifndef AGENT_AGENT_SETTINGS_H
#define AGENT_AGENT_SETTINGS_H

#include <stdint.h>

#include "core/ini.h"
#include "io/settings.h"

/* Settings of dandelionfork-agent; see docs/man/dandelionfork-agent.1.md for
   each key. */

struct agent_settings {
    /* [agent] */
    char *instance;
    char *data_centre;
    struct ini_address listen;
    struct ini_address endpoint;
    char *health_path;
    uint64_t health_interval_ms;
    /* offer_window_ms to max_queue are those of struct dispatch_settings in
       core/dispatch.h. */
    uint64_t offer_window_ms;
    uint64_t lease_ms;
    uint64_t record_ms;
    uint64_t prefill_window_ms;
    uint64_t max_queue;
    uint64_t body_memory_bytes; /* for request bodies */
    uint64_t order;             /* enum work_order */
    uint64_t load_interval_ms;  /* between MESSAGE_LOAD reports; 0: none */
};

struct agent_platform_settings {
    /* [platform] */
    struct ini_address store;
};

/* Reads the command line and the settings file into the two structs and
   configures the log. */
enum settings_result
agent_settings_start(int argc, char **argv, struct agent_settings *agent,
                     struct agent_platform_settings *platform);

#endif
