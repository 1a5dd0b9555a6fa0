#ifndef TESTS_SOAK_FAULT_KINDS_H
#define TESTS_SOAK_FAULT_KINDS_H

#include <stdbool.h>
#include <stdint.h>

#include "tests/soak/soak_disturbance.h"

/* The behaviours of a run: faults, and the changes that operators make. */

enum fault_kind {
    FAULT_PAUSE_GATEWAY,
    FAULT_KILL_GATEWAY,
    FAULT_TERM_GATEWAY,
    FAULT_HUP_GATEWAY,
    FAULT_CALLERS_PROXY,
    FAULT_STORE_PROXY,
    FAULT_WORKER_PROXY,
    FAULT_PAUSE_WORKER,
    FAULT_KILL_WORKER,
    FAULT_WORKER_FULL,
    FAULT_WORKER_FAILS,
    FAULT_WORKER_CUTS,
    FAULT_WORKER_SILENT,
    FAULT_STORE_DOWN,
    FAULT_STORE_REFUSES,
    FAULT_STORE_PAUSE,
    FAULT_STORE_COMPACT,
    FAULT_STORE_EXPIRE,
    FAULT_ADD_ROUTE,
    FAULT_REPLACE_KEY,
    FAULT_DRAIN_WORKER,
    FAULT_WORKER_SAYS_LEAVING,
    FAULT_WORKER_TURNS_AWAY,
    FAULT_REQUEST_CRASHES,
    FAULT_REGISTRATION_LAPSES,
    FAULT_EVACUATE,
    FAULT_WORKER_COLD,
    FAULT_CONFIG_GROWS,
    FAULT_VERSIONS,
    FAULT_STORE_QUIET,
    FAULT_STORE_DRILL,
    FAULT_ODD_ENTRIES,
    FAULT_METHODS,
    FAULT_SLOW_READERS,
    FAULT_IDLE_CALLERS,
    FAULT_WORKER_REPEATS,
    FAULT_WORKER_FAILS_RESUMED,
    FAULT_KIND_COUNT,
};

enum soak_fault_flags {
    SOAK_FAULT_DISTURBS = 1,
    /* An operator's write, which waits for the store. While it is suspended
       the write would block the main thread, which has to resume it. */
    SOAK_FAULT_NEEDS_STORE = 2,
    SOAK_FAULT_PLANNED = 4, /* is made in calm phases too */
    /* The worker gets no new requests meanwhile. */
    SOAK_FAULT_TAKES_WORKER_AWAY = 8,
    SOAK_FAULT_CONFIGURES = 16, /* writes a version of the configuration */
};

struct soak_fault_kind {
    const char *name;
    uint32_t index_count; /* index is below this */
    uint32_t max_ms;      /* duration */
    uint32_t flags;
    enum soak_disturbance_kind disturbance_kind; /* SOAK_FAULT_DISTURBS */
    const char *on_command; /* under /control of the fake; NULL: none */
    const char *off_command;
    const char *body; /* of on_command; NULL: none */
};

extern const struct soak_fault_kind soak_fault_kinds[FAULT_KIND_COUNT];

/* In most calm phases the store loses something, or tells nothing of it, once
   all is known or as the last fault before. The configuration rests otherwise:
   the next version would repair what the gateways have of it. */
struct soak_calm {
    enum fault_kind kind; /* FAULT_KIND_COUNT: none */
    uint32_t duration_ms;
    uint32_t change_ms; /* from the start; 0: no change before the fault */
    uint32_t fault_ms;  /* from the start */
};

enum {
    SOAK_CALMS = 5,
};

extern const struct soak_calm soak_calms[SOAK_CALMS];

/* Whether callers behave in that way now. Any thread. */
bool soak_fault_kind_is_active(enum fault_kind kind);
void soak_fault_kind_set_active(enum fault_kind kind, bool active);

#endif
