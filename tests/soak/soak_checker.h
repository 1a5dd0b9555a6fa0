#ifndef TESTS_SOAK_CHECKER_H
#define TESTS_SOAK_CHECKER_H

#include <stdbool.h>
#include <stdint.h>

#include "tests/soak/soak_client.h"

/* Records the callers' requests and their responses, the runs at the workers
   and the operators' changes, and checks from these the guarantees that the
   gateways give. Prints a broken guarantee at once, with the request that
   shows it. A run is one execution of a request by a worker. Thread safe.
   Times (_ms) are of fake_clock_ms(), unless a field is said to be a duration.
   Workers and gateways are counted from 0. */

enum {
    /* Four gateways follow the store (see core/followers.h). The fifth copies
       its state from them, so that both ways are tested. */
    SOAK_GATEWAYS = 5,
    SOAK_WORKERS = 5,
    SOAK_PLAIN_WORKERS = 2, /* the first ones; the others are model engines */
    /* Data centres, over which the workers are spread in turn. */
    SOAK_ZONES = 3,
    SOAK_MAX_KEYS = 256, /* API keys that one soak may use */
    SOAK_PERMANENT_KEY = SOAK_MAX_KEYS - 1, /* all versions have it */
    /* Time bounds of the guarantees, as in the gateways' settings and the
       users' manual. SOAK_REVOKE_MS holds also under faults. Other bounds are
       checked only if nothing was disturbed for SOAK_SETTLE_MS before. */
    SOAK_SETTLE_MS = 4000,
    SOAK_REVOKE_MS = 5000,
    SOAK_DRAIN_MS = 2000,
    SOAK_APPLY_MS = 2000,
    SOAK_EVACUATE_MS = 5000,
    SOAK_STRETCH_MS = 6000, /* added once if the store was disturbed */
    /* As in the gateways' settings and the services of the configuration. */
    SOAK_COLD_OVERAGE_PERCENT = 150,
    SOAK_COLD_SLACK = 5,
    SOAK_COLD_START_MS = 3000,
    SOAK_SLACK_MS = 500, /* allowed after a timeout or a disconnection */
};

enum soak_request_kind {
    SOAK_REQUEST_SAFE,         /* plain, needs an API key, may be repeated */
    SOAK_REQUEST_AT_MOST_ONCE, /* plain, may run only once */
    SOAK_REQUEST_SLOW,         /* plain, runs longer than its timeout */
    SOAK_REQUEST_STREAM,    /* event stream that another worker may resume */
    SOAK_REQUEST_LARGE,     /* event stream that exceeds one engine's memory */
    SOAK_REQUEST_NEW_ROUTE, /* plain, on the route that a version added */
    SOAK_REQUEST_OLD_ROUTE, /* plain, on a route of that version alone */
    /* Event stream whose caller reads more slowly than the worker sends, and
       leaves bytes of it unread at the gateway. */
    SOAK_REQUEST_SLOWLY_READ,
    /* Event stream that is read at 1 to 50 KB/s, with a pause of seconds. */
    SOAK_REQUEST_TRICKLED,
    SOAK_REQUEST_CRASHING, /* plain, crashes the workers that run it */
    /* Plain, may run only once, and takes seconds: longer than what is left of
       a gateway's grace if it comes late in it. */
    SOAK_REQUEST_LONG,
    SOAK_REQUEST_KIND_COUNT,
};

struct soak_request {
    char id[32];
    enum soak_request_kind kind;
    uint32_t gateway;
    uint32_t incarnation;   /* of the gateway when the request was sent */
    uint32_t key;           /* number of the API key sent */
    uint32_t version;       /* of the configuration that has the route */
    uint32_t seen_version;  /* that its gateway had shown by then */
    bool reused_connection; /* not the connection's first request */
    uint32_t crashing;      /* number of a crashing request; 0: another kind */
    uint32_t events;        /* expected in the response; 0: no stream */
    uint32_t event_bytes;   /* added to each event */
    const char *method;
    uint32_t read_pause_ms; /* these as in struct soak_call */
    uint32_t read_bytes;
    uint32_t stall_ms;
    uint32_t work_ms; /* asked of the worker; 0: none in particular */
    uint64_t sent_ms;
    uint64_t timeout_ms;    /* duration; sent in Deadline-Ms */
    uint64_t disconnect_ms; /* duration after which the caller disconnects */
    uint64_t ended_ms;      /* 0: in progress */
    enum soak_outcome outcome;
    uint32_t status;   /* as in struct soak_response */
    bool says_leaving; /* the response says that its worker is leaving */
    uint32_t runs;
    uint32_t worker;      /* of the last run */
    uint64_t last_run_ms; /* start of the last run */
};

/* The seed is printed with each broken guarantee. Call it first. */
void soak_checker_init(uint64_t seed);

/* Prints and counts a broken guarantee: its name, and what broke it. */
__attribute__((format(printf, 2, 3))) void
soak_checker_fail(const char *guarantee, const char *format, ...);
/* Number of failures that were printed so far. */
uint32_t soak_checker_failures(void);

/* Records a request that is about to be sent. Returns the recorded copy, which
   the checker owns; pass it to soak_checker_request_ended() once the caller
   has the response or has given up. */
struct soak_request *
soak_checker_request_sent(const struct soak_request *request);
void soak_checker_request_ended(struct soak_request *request,
                                const struct soak_response *response,
                                uint64_t now_ms);

/* Whether its response has no body. */
bool soak_checker_is_head(const struct soak_request *request);

/* Takes a line of a worker's standard output, see fake_worker.c. */
void soak_checker_worker_line(uint32_t worker, const char *line);

/* Operators' changes, each with the index of what was changed. A worker whose
   registration was removed drains. */
enum soak_change {
    SOAK_CHANGE_KEY_ADDED,
    SOAK_CHANGE_KEY_REMOVED,
    SOAK_CHANGE_VERSION_WRITTEN,
    SOAK_CHANGE_WORKER_DRAINS,
    SOAK_CHANGE_WORKER_READY,
    SOAK_CHANGE_WORKER_INSTANCE,
    SOAK_CHANGE_ZONE_EVACUATED,
    SOAK_CHANGE_ZONE_IN_USE,
};

/* Records a change that the store has just accepted; the end of an evacuation
   before the store gets it. */
void soak_checker_changed(enum soak_change change, uint32_t index);

/* The gateways could just know that the worker is cold until until_ms, and
   must after bound_after_ms (a duration). */
void soak_checker_worker_cold(uint32_t worker, uint64_t bound_after_ms,
                              uint64_t until_ms);

/* Whether the gateway could follow the store: neither of them nor the
   connection between them was disturbed. Called by checks, with the lock
   held. */
bool soak_checker_follows_store(const struct soak_request *request,
                                uint64_t from_ms, uint64_t to_ms);

/* Checks what can be known only after all requests and runs have ended, and
   prints the counts of requests. */
void soak_checker_finish(void);

#endif
