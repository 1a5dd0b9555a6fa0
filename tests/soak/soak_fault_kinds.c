#include "tests/soak/soak_fault_kinds.h"

#include <stdatomic.h>
#include <stddef.h>

#include "tests/soak/soak_checker.h"

enum {
    /* Durations in ms. LONG exceeds SOAK_REVOKE_MS and the lease of a
       gateway's registration, LONGEST exceeds SOAK_EVACUATE_MS and
       SOAK_STRETCH_MS. */
    SHORT = 3500,
    LONG = 12000,
    LONGEST = 18000,
    DISTURBS = SOAK_FAULT_DISTURBS,
    STORE = SOAK_FAULT_NEEDS_STORE,
    PLANNED = SOAK_FAULT_PLANNED,
    CHANGE = STORE | PLANNED,
    CONFIGURES = CHANGE | SOAK_FAULT_CONFIGURES,
    AWAY = CHANGE | SOAK_FAULT_TAKES_WORKER_AWAY,
};

const struct soak_fault_kind soak_fault_kinds[FAULT_KIND_COUNT] = {
    [FAULT_PAUSE_GATEWAY] = {"pause-gateway", SOAK_GATEWAYS, LONG, DISTURBS,
                             SOAK_DISTURBANCE_GATEWAY, NULL, NULL},
    [FAULT_KILL_GATEWAY] = {"kill-gateway", SOAK_GATEWAYS, SHORT, DISTURBS,
                            SOAK_DISTURBANCE_GATEWAY, NULL, NULL},
    [FAULT_TERM_GATEWAY] = {"term-gateway", SOAK_GATEWAYS, SHORT,
                            DISTURBS | PLANNED, SOAK_DISTURBANCE_RESTART, NULL,
                            NULL},
    [FAULT_HUP_GATEWAY] = {"hup-gateway", SOAK_GATEWAYS, SHORT, PLANNED, 0,
                           NULL, NULL},
    [FAULT_CALLERS_PROXY] = {"callers-way", SOAK_GATEWAYS, SHORT, DISTURBS,
                             SOAK_DISTURBANCE_GATEWAY, NULL, NULL},
    [FAULT_STORE_PROXY] = {"store-way", SOAK_GATEWAYS, LONG, DISTURBS,
                           SOAK_DISTURBANCE_STORE_CONNECTION, NULL, NULL},
    [FAULT_WORKER_PROXY] = {"worker-way", SOAK_WORKERS, SHORT, DISTURBS,
                            SOAK_DISTURBANCE_WORKER, NULL, NULL},
    [FAULT_PAUSE_WORKER] = {"pause-worker", SOAK_WORKERS, SHORT, DISTURBS,
                            SOAK_DISTURBANCE_WORKER, NULL, NULL},
    [FAULT_KILL_WORKER] = {"kill-worker", SOAK_WORKERS, SHORT, DISTURBS,
                           SOAK_DISTURBANCE_WORKER, NULL, NULL},
    [FAULT_WORKER_FULL] = {"worker-full", SOAK_WORKERS, SHORT, DISTURBS,
                           SOAK_DISTURBANCE_WORKER, "full?on=1", "full?on=0"},
    [FAULT_WORKER_FAILS] = {"worker-fails", SOAK_WORKERS, SHORT, DISTURBS,
                            SOAK_DISTURBANCE_WORKER, "fail?on=1", "fail?on=0"},
    [FAULT_WORKER_CUTS] = {"worker-cuts", SOAK_WORKERS, SHORT, DISTURBS,
                           SOAK_DISTURBANCE_WORKER, "cut?after=4",
                           "cut?after=0"},
    [FAULT_WORKER_SILENT] = {"worker-silent", SOAK_WORKERS, SHORT, DISTURBS,
                             SOAK_DISTURBANCE_WORKER, "silent?on=1",
                             "silent?on=0"},
    [FAULT_STORE_DOWN] = {"store-down", 1, LONG, DISTURBS,
                          SOAK_DISTURBANCE_STORE, "down?on=1", "down?on=0"},
    [FAULT_STORE_REFUSES] = {"store-refuses", 1, LONG, DISTURBS,
                             SOAK_DISTURBANCE_STORE, "refuse?on=1",
                             "refuse?on=0"},
    [FAULT_STORE_PAUSE] = {"store-pause", 1, SHORT, DISTURBS,
                           SOAK_DISTURBANCE_STORE, NULL, NULL},
    [FAULT_STORE_COMPACT] = {"store-compact", 1, SHORT, DISTURBS,
                             SOAK_DISTURBANCE_STORE, "compact", NULL},
    [FAULT_STORE_EXPIRE] = {"store-expire", 1, SHORT, DISTURBS,
                            SOAK_DISTURBANCE_STORE, "expire", NULL},
    [FAULT_ADD_ROUTE] = {"configure", 1, SHORT, CONFIGURES, 0, NULL, NULL},
    [FAULT_REPLACE_KEY] = {"change-key", 1, SHORT, CONFIGURES, 0, NULL, NULL},
    [FAULT_DRAIN_WORKER] = {"worker-leaves", SOAK_WORKERS, LONG, AWAY, 0, NULL,
                            NULL},
    [FAULT_WORKER_SAYS_LEAVING] = {"worker-says-leaving", SOAK_WORKERS, LONG,
                                   AWAY, 0, "leaving?on=1", NULL},
    [FAULT_WORKER_TURNS_AWAY] = {"worker-turns-away", SOAK_WORKERS, SHORT, 0,
                                 0, "full?on=1&retry_s=2", "full?on=0"},
    [FAULT_REQUEST_CRASHES] = {"request-crashes", 1, SHORT, STORE, 0, NULL,
                               NULL},
    [FAULT_REGISTRATION_LAPSES] = {"registration-lapses", SOAK_WORKERS, SHORT,
                                   AWAY, 0, NULL, NULL},
    [FAULT_EVACUATE] = {"evacuate", SOAK_ZONES, LONGEST, CHANGE, 0, NULL,
                        NULL},
    [FAULT_WORKER_COLD] = {"worker-cold", SOAK_WORKERS, SHORT, PLANNED, 0,
                           NULL, NULL},
    [FAULT_CONFIG_GROWS] = {"config-grows", 1, LONG, CONFIGURES, 0, NULL,
                            NULL},
    [FAULT_VERSIONS] = {"versions", 1, SHORT, CONFIGURES, 0, NULL, NULL},
    [FAULT_STORE_QUIET] = {"store-quiet", 1, SHORT, DISTURBS | STORE,
                           SOAK_DISTURBANCE_STORE, "quiet?on=1", "quiet?on=0"},
    [FAULT_STORE_DRILL] = {"store-drill", 1, SHORT, DISTURBS | STORE,
                           SOAK_DISTURBANCE_STORE, NULL, NULL},
    [FAULT_ODD_ENTRIES] = {"odd-entries", SOAK_WORKERS, LONG, CHANGE, 0, NULL,
                           NULL},
    [FAULT_METHODS] = {"methods", 1, LONG, PLANNED, 0, NULL, NULL},
    [FAULT_SLOW_READERS] = {"slow-readers", 1, LONG, PLANNED, 0, NULL, NULL},
    [FAULT_IDLE_CALLERS] = {"idle-callers", SOAK_GATEWAYS, LONG, PLANNED, 0,
                            NULL, NULL},
    /* An earlier refusal once more, on a connection that it keeps. */
    [FAULT_WORKER_REPEATS] =
        {"worker-repeats-refusal", SOAK_WORKERS, LONG, DISTURBS,
         SOAK_DISTURBANCE_WORKER, "raw?when=kept&at=before", "raw",
         "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
         "Content-Length: 0\r\n\r\n"},
    /* A success whose body is an error, where a stream should go on. */
    [FAULT_WORKER_FAILS_RESUMED] =
        {"worker-fails-resumed", SOAK_WORKERS, LONG, DISTURBS,
         SOAK_DISTURBANCE_WORKER, "raw?when=resumed&at=before", "raw",
         "HTTP/1.1 200 OK\r\nAttempt-Id: @\r\n"
         "Response-Signature: signed\r\n"
         "Content-Type: text/event-stream\r\n\r\ndata: error\n\n"},
};

const struct soak_calm soak_calms[SOAK_CALMS] = {
    {FAULT_STORE_QUIET, 10000, 0, 0},
    {FAULT_STORE_QUIET, 10000, 0, 0},
    {FAULT_STORE_DRILL, 11000, 0, 0},
    {FAULT_STORE_DRILL, 16000, SOAK_SETTLE_MS + 300, SOAK_SETTLE_MS + 2700},
    {FAULT_KIND_COUNT, 9000, 0, 0},
};

static _Atomic bool active_kinds[FAULT_KIND_COUNT];

bool
soak_fault_kind_is_active(enum fault_kind kind)
{
    return active_kinds[kind];
}

void
soak_fault_kind_set_active(enum fault_kind kind, bool active)
{
    active_kinds[kind] = active;
}
