#ifndef CORE_ENDPOINTS_H
#define CORE_ENDPOINTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/catalog.h"
#include "core/cold.h"
#include "core/endpoint_limit.h"

/* The endpoints that a gateway knows, with the load that it has placed on
   each, the load that its peers (the other gateways) report, and recent
   failures. Not thread-safe. All times are in milliseconds of one monotonic
   clock. */

struct endpoints;

/* An endpoint's registration in the platform's store. */
struct endpoint_registration {
    const char *id;
    const char *service;
    const char *ip;
    uint16_t port;
    const char *data_centre;
    uint32_t slots;
    bool draining;     /* finishes its requests and gets no new ones */
    uint64_t born_ms;  /* start of the instance (Unix time); 0: not given */
    uint32_t cold_ms;  /* how much longer it is cold; 0: it is warm */
    uint64_t revision; /* of the store */
};

/* Load at an endpoint, from one gateway or summed over several. */
struct endpoint_load {
    uint32_t requests;
    double prefill_ms; /* prefill left to run */
    /* Sum of the values of the prompts whose prefill, or part of it, is not
       over. An engine runs the part of a prompt that another engine answers
       before all other prefills, also those of earlier parts, and thus delays
       these prompts. */
    double unread_value;
    uint64_t tokens; /* of KV memory */
    /* Number of the streams, and sum of the values of their prompts, by gap
       class. */
    uint32_t streams[CATALOG_MAX_GAP_CLASSES];
    double value[CATALOG_MAX_GAP_CLASSES];
};

/* One request, or a helper's part of one, that runs at an endpoint. */
struct endpoint_work {
    uint64_t started_ms;
    double prefill_ms;  /* expected prefill time; 0 for plain calls */
    bool prefilled;     /* the prefill is over: the first event has come */
    bool is_stream;     /* the route streams; false for a helper */
    uint64_t tokens;    /* of KV memory */
    uint32_t gap_class; /* from catalog_gap_class() */
    /* From placement_prompt_value(); 0 once the stream has missed a target. */
    double value;
};

struct endpoint {
    char *id;
    char *service;
    char *ip;
    uint16_t port;
    char *data_centre;
    uint32_t slots;
    bool draining;
    uint64_t born_ms;
    bool leaving;    /* its answers say so, whatever its registration says */
    bool registered; /* false: removed */
    bool evacuated;  /* its data centre is; see endpoints_set_evacuated() */
    /* When its data centre was in use again, if its registration is older than
       that; 0: it is not. */
    uint64_t returned_ms;
    uint64_t revision; /* of its registration */
    struct cold cold;
    GList *removed_link; /* place among the removed ones; NULL: not kept */
    GPtrArray *running;  /* struct endpoint_work *, not owned, oldest first */
    /* When a prefill that this gateway placed here last ended. */
    uint64_t last_prefill_end_ms;
    struct endpoint_load peer_load; /* sum of what the peers report */
    /* Requests that the endpoint reported itself and that were neither this
       gateway's nor in the peers' reports, and when. */
    uint32_t unseen_requests;
    uint64_t unseen_ms;
    struct endpoint_limit limit;
    /* The endpoint has asked for no requests of this gateway before; 0: it has
       not. */
    uint64_t closed_until_ms;
    uint32_t consecutive_failures;
    uint64_t avoid_until_ms; /* no new requests before; 0: no limit */
    /* Its data centre is suspected to be away; 0: it is not. */
    uint64_t suspected_until_ms;
    uint64_t reached_ms; /* its last response began; 0: none */
    guint references;
};

/* What a peer reports of one endpoint: its load, or a limit that it has
   observed. */
struct endpoint_peer_load {
    char *id; /* of the endpoint; owned */
    bool is_limit;
    struct endpoint_load load;
    double limit_per_s; /* 0: none */
    uint64_t limit_age_ms;
};

struct endpoints *endpoints_create(void);
void endpoints_destroy(struct endpoints *endpoints);

/* Adds an endpoint, or updates the one with the same id, from its
   registration, which is copied. An endpoint that was removed comes back as it
   was if its registration shows the same start of the instance; one without a
   start counts as another instance. The time for which it is cold counts from
   now on. Returns whether anything has changed. */
bool endpoints_put(struct endpoints *endpoints,
                   const struct endpoint_registration *registration,
                   uint64_t now_ms);
/* Removes an endpoint, which stays valid for those that hold a reference. It
   is kept, since its registration may only have lapsed: it may come back while
   the instance still runs. Returns whether it was known. */
bool endpoints_remove(struct endpoints *endpoints, const char *id);
/* Borrowed; NULL if the id is not known. */
struct endpoint *endpoints_find(const struct endpoints *endpoints,
                                const char *id);
/* Start of the instance that was last registered under the id, also if it was
   removed; 0: not known. */
uint64_t endpoints_born_ms(const struct endpoints *endpoints, const char *id);
/* All endpoints: id to struct endpoint. Borrowed. */
GHashTable *endpoints_by_id(const struct endpoints *endpoints);

/* Records whether a data centre is evacuated: its endpoints, also those that
   are added later, get no new requests meanwhile. Afterwards they count as
   cold until their registration is newer than that revision of the store.
   Returns whether it has changed. */
bool endpoints_set_evacuated(struct endpoints *endpoints,
                             const char *data_centre, bool evacuated,
                             uint64_t revision, uint64_t now_ms);
/* Whether an endpoint is registered in that data centre. */
bool endpoints_has_data_centre(const struct endpoints *endpoints,
                               const char *data_centre);
uint32_t endpoints_evacuated_count(const struct endpoints *endpoints);

/* Replaces the load that a peer (its instance) reports, and applies the limits
   that it reports. rows is an array of struct endpoint_peer_load, which is
   taken over; NULL: the peer reports no load. */
void endpoints_set_peer_load(struct endpoints *endpoints, const char *peer,
                             GArray *rows, uint64_t now_ms);

/* Number of endpoints that name a limit. */
uint32_t endpoints_limited(const struct endpoints *endpoints);

/* Whether the endpoint has said that it is cold, or may be since its data
   centre came back from an evacuation, whatever its service's configuration
   says. */
bool endpoint_may_be_cold(const struct endpoint *endpoint, uint64_t now_ms);

/* Until when an endpoint of the service is cold; 0: it is warm, or the service
   sets no rate for cold endpoints. The time may be past. */
uint64_t endpoint_cold_until_ms(const struct endpoint *endpoint,
                                const struct catalog_service *service);

struct endpoint *endpoint_ref(struct endpoint *endpoint);
void endpoint_unref(struct endpoint *endpoint);

/* Adds and removes work. It stays the caller's, and must stay valid until it
   is removed. */
void endpoint_add_work(struct endpoint *endpoint, struct endpoint_work *work);
void endpoint_remove_work(struct endpoint *endpoint,
                          struct endpoint_work *work);

/* Marks the prefill of the work's prompt as ended, at its first event. */
void endpoint_work_prefilled(struct endpoint *endpoint,
                             struct endpoint_work *work, uint64_t now_ms);

/* Load that this gateway has placed there. */
void endpoint_own_load(const struct endpoint *endpoint, uint64_t now_ms,
                       struct endpoint_load *load);
/* Records the number of requests, running and waiting, that the endpoint
   itself reports. Those that no gateway has reported yet count until the
   peers' reports must have come, the less the later. */
void endpoint_record_reported(struct endpoint *endpoint, uint32_t requests,
                              uint64_t now_ms);

/* Load that all gateways have placed there, as far as reported. */
void endpoint_load(const struct endpoint *endpoint, uint64_t now_ms,
                   struct endpoint_load *load);

/* Counts a failure. After a second one in a row, the endpoint is left out for
   a time that doubles with each further failure. A success ends this. */
void endpoint_record_failure(struct endpoint *endpoint, uint64_t now_ms);
void endpoint_record_success(struct endpoint *endpoint);

/* Counts a failure to connect to the endpoint, which is left out at once.
   After several in a row in its data centre, all endpoints there that have not
   been reached lately are left out for a while. Returns whether that begins
   or goes on. */
bool endpoints_record_unreachable(struct endpoints *endpoints,
                                  struct endpoint *endpoint, uint64_t now_ms);
/* Records that a response of the endpoint has begun. */
void endpoints_record_reached(struct endpoints *endpoints,
                              struct endpoint *endpoint, uint64_t now_ms);

#endif
