#ifndef CORE_AVAILABILITY_H
#define CORE_AVAILABILITY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Decides whether an endpoint may get a request now, and if not, why and until
   when. The only place that does: it holds for the endpoint that answers, for
   helpers, for those that hold memory for a prompt, and for retries. Keeps no
   state; it reads the endpoints, so call it on their thread. Times are in
   milliseconds of one monotonic clock. */

struct catalog_service;
struct endpoint;
struct endpoints;
struct regions;

enum availability_reason {
    AVAILABILITY_OK,
    AVAILABILITY_GONE,      /* no longer registered */
    AVAILABILITY_OUTSIDE,   /* of the regions that are allowed */
    AVAILABILITY_DRAINING,  /* its registration says so */
    AVAILABILITY_LEAVING,   /* its responses say so */
    AVAILABILITY_EVACUATED, /* its data centre is */
    AVAILABILITY_TRIED,     /* the request was sent to it before */
    /* After several failures in a row, or its data centre seems to be away. */
    AVAILABILITY_FAILING,
    AVAILABILITY_CLOSED,  /* by its Retry-After */
    AVAILABILITY_LIMITED, /* the limit that it names has no room now */
    AVAILABILITY_COLD,    /* and what it may get while cold has no room */
    AVAILABILITY_REASONS, /* number of the above */
};

/* An until_ms that is not known. */
#define AVAILABILITY_UNKNOWN UINT64_MAX

struct availability {
    enum availability_reason reason;
    /* When the reason ends; AVAILABILITY_UNKNOWN: not known. 0: it may get the
       request now. */
    uint64_t until_ms;
};

/* A request, and the gateway that wants to send it. Everything is borrowed. */
struct availability_query {
    const struct catalog_service *service;
    /* Endpoints that the request was sent to. */
    char *const *tried_ids;
    uint32_t tried_count;
    /* The regions that its route and its account allow, NULL-terminated;
       NULL: all. */
    char *const *route_regions;
    char *const *account_regions;
    const struct regions *regions; /* of the data centres */
    /* The request needs memory of several engines. */
    bool in_parts;
    /* What cold endpoints may get: overage and slack of struct cold_bound. */
    double cold_overage;
    double cold_slack;
    /* Addresses of this gateway and of all; they share the limits of an
       endpoint. */
    const char *own;
    const char *const *gateways;
    size_t gateway_count;
    /* This gateway is about to end. The others share the limits without it as
       soon as they know, so that it takes no share any more. */
    bool is_ending;
    /* Failing endpoints are used: set by availability_candidates(). */
    bool uses_failing;
};

struct availability_list {
    /* struct endpoint *, borrowed: those that may get the request, and those
       that will soon, which are in waiting too. They keep their place in the
       order of preference that placement makes of the candidates. */
    GPtrArray *candidates;
    GPtrArray *waiting;
    /* Number of the service's endpoints by reason. */
    uint32_t counts[AVAILABILITY_REASONS];
    /* The reason of the endpoint that may be used first of those that may not
       now, and when. AVAILABILITY_OK: others may be used, and it is not known
       when these may. AVAILABILITY_GONE: there is no endpoint. */
    struct availability first;
};

/* A short name for logs and metrics. */
const char *availability_reason_name(enum availability_reason reason);

/* Whether the endpoint, which belongs to the service, may get the request.
   Counts nothing. */
struct availability availability_check(const struct availability_query *query,
                                       const struct endpoint *endpoint,
                                       uint64_t now_ms);

/* The same for an endpoint at which the request was placed before and which is
   to get it now: what its limits allow was taken into account then. */
struct availability
availability_check_placed(const struct availability_query *query,
                          const struct endpoint *endpoint);

/* Fills the list with the endpoints of the service. Free what it holds with
   availability_list_clear(). Failing endpoints are candidates if they are more
   than half of those that are left but for that; *query is changed then. */
void availability_candidates(struct availability_query *query,
                             const struct endpoints *endpoints,
                             uint64_t now_ms, struct availability_list *list);
void availability_list_clear(struct availability_list *list);

/* Whether a candidate of the list may get the request now. */
bool availability_list_may_use(const struct availability_list *list,
                               const struct endpoint *endpoint);

/* Appends a text for logs that names the endpoints of the service that are
   left out: "id:reason" or "id:reason+ms", with commas between, the first ones
   only if there are many. */
void availability_describe(const struct availability_query *query,
                           const struct endpoints *endpoints, uint64_t now_ms,
                           GString *out);

/* Counts a request that is sent now, to the endpoint that answers or to a
   helper, for what the endpoint may get. Called when it is placed, so that
   others meanwhile do not find the same room. */
void availability_take(const struct availability_query *query,
                       struct endpoint *endpoint, bool answers,
                       uint64_t now_ms);

#endif
