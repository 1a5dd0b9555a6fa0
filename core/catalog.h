#ifndef CORE_CATALOG_H
#define CORE_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/engine_model.h"

/* One version of a gateway's configuration: routes by host and path, services,
   client accounts and their API keys. It is built by the catalog_add functions
   and immutable after catalog_finish(). The reference count is not atomic, so
   a catalog belongs to one thread. Pointers that a lookup returns stay valid
   as long as the catalog. */

struct catalog;

/* How often the endpoints may run one request. */
enum catalog_execution {
    CATALOG_AT_MOST_ONCE, /* at most once per attempt of the caller */
    CATALOG_IDEMPOTENT,   /* any number of times: it is idempotent */
    CATALOG_RESUMABLE,    /* a stream that another endpoint can resume */
};

enum {
    /* Largest number of gap classes of a service. Routes with the same target
       for the gap between two events form a class. */
    CATALOG_MAX_GAP_CLASSES = 4,
};

/* A service's share of a route's requests, in proportion to its weight. */
struct catalog_share {
    char *service;
    double weight;
};

struct catalog_route {
    char *name;
    char *host;   /* lower case, without a port */
    char *prefix; /* of the path; begins and ends with a slash */
    enum catalog_execution execution;
    bool is_public; /* needs no key */
    bool is_stream;
    uint32_t time_limit_ms;
    /* Targets for the time to the response, or to a stream's first event, and
       for the gap between two events. */
    uint32_t first_event_target_ms;
    uint32_t gap_target_ms;
    uint32_t priority;     /* 0 is the highest */
    uint32_t max_attempts; /* endpoints that may be tried for a request */
    /* Regions in which requests may run, NULL-terminated; NULL: all. */
    char **allowed_regions;
    struct catalog_share *shares;
    size_t share_count;
};

struct catalog_service {
    char *name;
    uint32_t max_connections; /* to one endpoint, from all gateways */
    /* How long an endpoint is cold after its data centre was evacuated, and
       the requests a second that it takes while it is cold; 0: not given, and
       any number. */
    uint32_t cold_start_ms;
    double cold_per_s;
    bool has_engine; /* runs prompts; engine is set */
    struct engine_model engine;
    /* Gap targets of the service's routes, ascending; filled by
       catalog_finish(). */
    uint32_t gap_targets_ms[CATALOG_MAX_GAP_CLASSES];
    uint32_t gap_class_count;
};

struct catalog_account {
    char *name;
    uint32_t priority; /* overrides the route's */
    bool has_priority;
    char **allowed_regions; /* as of a route; both bind */
};

/* Limits on callers: sizes, the time to send a request's head, and the time
   that a connection may stay idle. */
struct catalog_limits {
    uint32_t max_head_bytes;
    uint64_t max_body_bytes;
    uint32_t head_timeout_ms;
    uint32_t idle_timeout_ms;
};

/* Creates an empty catalog with one reference, which catalog_unref() drops. */
struct catalog *catalog_create(uint64_t version,
                               const struct catalog_limits *limits);

/* Each copies the struct and takes over its strings, also a route's shares;
   they are freed by g_free(). */
void catalog_add_route(struct catalog *catalog,
                       const struct catalog_route *route);
void catalog_add_service(struct catalog *catalog,
                         const struct catalog_service *service);
void catalog_add_account(struct catalog *catalog,
                         const struct catalog_account *account);
/* Adds a key, which is copied, to an account that was added before. */
void catalog_add_key(struct catalog *catalog, const char *key,
                     const char *account);
/* Completes the catalog: call it once, after the last addition. */
void catalog_finish(struct catalog *catalog);

/* catalog_unref() accepts NULL. */
struct catalog *catalog_ref(struct catalog *catalog);
void catalog_unref(struct catalog *catalog);

uint64_t catalog_version(const struct catalog *catalog);
const struct catalog_limits *catalog_limits(const struct catalog *catalog);

/* Whether requests to non-public routes need a key. */
bool catalog_has_accounts(const struct catalog *catalog);

/* Returns the host's route with the longest prefix of the target's path, or
   NULL. A port in host and a query in target are ignored. */
const struct catalog_route *catalog_find_route(const struct catalog *catalog,
                                               const char *host,
                                               const char *target);

/* Selects one of the route's services by weight. draw is uniform in [0, 1).
   Returns NULL if the service is not in the catalog. */
const struct catalog_service *
catalog_pick_service(const struct catalog *catalog,
                     const struct catalog_route *route, double draw);

/* NULL if there is none of that name. */
const struct catalog_service *
catalog_find_service(const struct catalog *catalog, const char *name);

/* The account that has the key, or NULL. */
const struct catalog_account *
catalog_find_account(const struct catalog *catalog, const char *key);

/* Index of the service's smallest gap class that is not below a route's gap
   target, or of the last class. */
uint32_t catalog_gap_class(const struct catalog_service *service,
                           uint32_t gap_target_ms);

#endif
