#ifndef CORE_ENDPOINTS_H
#define CORE_ENDPOINTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/catalog.h"

/* The endpoints that a gateway knows, with the load that it has placed on
   each, the load that its peers (the other gateways) report, and recent
   failures. Not thread-safe. All times are in ms on one monotonic clock, which
   the caller chooses. */

struct endpoints;

/* An endpoint as it registers itself in the platform's store. */
struct endpoint_entry {
    const char *id;
    const char *service;
    const char *ip;
    uint16_t port;
    const char *data_centre;
    uint32_t slots;
    bool leaving; /* finishes its requests and gets no new ones */
};

/* Load at an endpoint, from one gateway or summed over several. */
struct endpoint_load {
    uint32_t requests;
    double reading_ms; /* prefill left to run */
    uint64_t tokens;   /* of KV memory */
    /* Number and total value of the streams, by gap class. */
    uint32_t streams[CATALOG_MAX_GAP_CLASSES];
    double worth[CATALOG_MAX_GAP_CLASSES];
};

/* One request, or a helper's part of one, that runs at an endpoint. */
struct endpoint_work {
    uint64_t begun_ms;
    double read_ms;       /* expected prefill time; 0 for plain calls */
    bool read;            /* the prefill is over: the first event has come */
    bool is_stream;       /* false for a helper's part */
    uint64_t tokens;      /* of KV memory */
    uint32_t pause_class; /* from catalog_gap_class() */
    double worth;         /* 0 once the stream has missed a target */
};

struct endpoint {
    char *id;
    char *service;
    char *ip;
    uint16_t port;
    char *data_centre;
    uint32_t slots;
    bool leaving;
    bool listed;      /* false: removed, but still referenced */
    GPtrArray *works; /* struct endpoint_work *, not owned, oldest first */
    uint64_t read_ms; /* when a prefill of this gateway last ended */
    struct endpoint_load others; /* sum of what the peers report */
    uint32_t failures;
    uint64_t avoid_until_ms; /* no new requests before; 0: no limit */
    guint references;
};

/* Load that a peer reports for one endpoint. */
struct endpoint_peer_load {
    char *id; /* of the endpoint; owned */
    struct endpoint_load load;
};

struct endpoints *endpoints_create(void);
void endpoints_destroy(struct endpoints *endpoints);

/* Adds an endpoint, or updates the one with the entry's id. Copies the entry.
   Returns whether anything has changed. */
bool endpoints_put(struct endpoints *endpoints,
                   const struct endpoint_entry *entry);
/* Removes an endpoint, which stays valid for those that hold a reference.
   Returns whether it was known. */
bool endpoints_remove(struct endpoints *endpoints, const char *id);
/* Borrowed; NULL if the id is not known. */
struct endpoint *endpoints_find(const struct endpoints *endpoints,
                                const char *id);
/* All endpoints: id to struct endpoint. Borrowed. */
GHashTable *endpoints_table(const struct endpoints *endpoints);

/* Endpoints of a service that may get new requests, as an array of struct
   endpoint * that the caller frees; it holds no references. Leaves out
   draining endpoints, and those with recent failures unless these are more
   than half. */
GPtrArray *endpoints_usable(const struct endpoints *endpoints,
                            const char *service, uint64_t now_ms);

/* Replaces the load that a peer (its instance) reports. rows is an array of
   struct endpoint_peer_load, which is taken over; NULL: the peer reports no
   load. */
void endpoints_set_peer_load(struct endpoints *endpoints, const char *peer,
                             GArray *rows);

struct endpoint *endpoint_ref(struct endpoint *endpoint);
void endpoint_unref(struct endpoint *endpoint);

/* Adds and removes work. It stays the caller's, and must stay valid until it
   is removed. */
void endpoint_begin(struct endpoint *endpoint, struct endpoint_work *work);
void endpoint_end(struct endpoint *endpoint, struct endpoint_work *work);

/* Marks the prefill of the work's prompt as ended, at its first event. */
void endpoint_work_read(struct endpoint *endpoint, struct endpoint_work *work,
                        uint64_t now_ms);

/* Load that this gateway has placed there. */
void endpoint_own_load(const struct endpoint *endpoint, uint64_t now_ms,
                       struct endpoint_load *load);
/* Load that all gateways have placed there, as far as reported. */
void endpoint_load(const struct endpoint *endpoint, uint64_t now_ms,
                   struct endpoint_load *load);

/* Counts a failure. After a second one in a row, the endpoint is left out for
   a time that doubles with each further failure. A success ends this. */
void endpoint_failed(struct endpoint *endpoint, uint64_t now_ms);
void endpoint_succeeded(struct endpoint *endpoint);

#endif
