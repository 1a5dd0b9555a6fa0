#include "core/endpoints.h"

#include <string.h>

#include "core/outage.h"

enum {
    /* Limits of the time for which a failing endpoint is left out; it doubles
       with each consecutive failure. The lower is the time to detect a crash,
       the upper the time after which the platform delists a dead endpoint. */
    MIN_AVOID_MS = 500,
    MAX_AVOID_MS = 4000,
    MAX_DOUBLINGS = 3,
    /* Consecutive failures before an endpoint is left out: single failures
       happen at healthy endpoints too. */
    TOLERATED_FAILURES = 1,
    /* Within it the peers' reports tell what the endpoint said itself. */
    UNSEEN_MS = 500,
    /* An endpoint whose response began within this time is not suspected with
       its data centre. */
    REACHED_LATELY_MS = 1000,
    /* Removed endpoints that are kept: more than one fleet has. */
    MAX_REMOVED = 8192,
};

/* An engine prefills one prompt after the other. The current prefill runs at
   this share of the announced rate at least. */
static const double min_prefill_speed = 0.7;
/* Until the first event comes, at most this share of a prefill counts as
   done. */
static const double max_prefill_progress = 0.8;

/* A data centre that is or was evacuated. */
struct data_centre {
    bool evacuated;
    /* The end of the last evacuation: its time and its revision of the
       store. */
    uint64_t returned_ms;
    uint64_t returned_revision;
    struct outage outage;
};

struct endpoints {
    GHashTable *by_id;        /* id to struct endpoint; holds a reference */
    GHashTable *removed;      /* the same of those that were removed */
    GQueue removed_order;     /* struct endpoint, the first removed first */
    GHashTable *data_centres; /* name to struct data_centre */
    GHashTable *peers; /* instance to GArray of struct endpoint_peer_load */
};

static void
clear_row(gpointer data)
{
    struct endpoint_peer_load *row = data;

    g_free(row->id);
}

static void
free_rows(gpointer data)
{
    GArray *rows = data;

    g_array_set_clear_func(rows, clear_row);
    g_array_free(rows, TRUE);
}

static void
unregister_endpoint(gpointer data)
{
    struct endpoint *endpoint = data;

    endpoint->registered = false;
    endpoint_unref(endpoint);
}

static void
unref_removed(gpointer data)
{
    struct endpoint *endpoint = data;

    endpoint->removed_link = NULL;
    endpoint_unref(endpoint);
}

struct endpoints *
endpoints_create(void)
{
    struct endpoints *endpoints = g_new0(struct endpoints, 1);

    endpoints->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                             unregister_endpoint);
    endpoints->removed =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref_removed);
    g_queue_init(&endpoints->removed_order);
    endpoints->data_centres =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    endpoints->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_rows);
    return endpoints;
}

void
endpoints_destroy(struct endpoints *endpoints)
{
    if (endpoints == NULL) {
        return;
    }
    g_hash_table_destroy(endpoints->by_id);
    g_queue_clear(&endpoints->removed_order);
    g_hash_table_destroy(endpoints->removed);
    g_hash_table_destroy(endpoints->data_centres);
    g_hash_table_destroy(endpoints->peers);
    g_free(endpoints);
}

struct endpoint *
endpoint_ref(struct endpoint *endpoint)
{
    endpoint->references++;
    return endpoint;
}

void
endpoint_unref(struct endpoint *endpoint)
{
    if (--endpoint->references > 0) {
        return;
    }
    g_ptr_array_free(endpoint->running, TRUE);
    g_free(endpoint->id);
    g_free(endpoint->service);
    g_free(endpoint->ip);
    g_free(endpoint->data_centre);
    g_free(endpoint);
}

static bool
update_text(char **field, const char *text)
{
    if (g_strcmp0(*field, text) == 0) {
        return false;
    }
    g_free(*field);
    *field = g_strdup(text);
    return true;
}

/* What an instance has said of itself, and its failures, don't hold for the
   next one with its id. */
static void
forget_instance(struct endpoint *endpoint)
{
    endpoint->leaving = false;
    endpoint->limit = (struct endpoint_limit){0};
    endpoint->closed_until_ms = 0;
    endpoint->unseen_requests = 0;
    endpoint->consecutive_failures = 0;
    endpoint->avoid_until_ms = 0;
    endpoint->suspected_until_ms = 0;
    endpoint->reached_ms = 0;
}

static bool
update_registration(struct endpoint *endpoint,
                    const struct endpoint_registration *registration)
{
    bool changed = update_text(&endpoint->service, registration->service);

    changed |= update_text(&endpoint->ip, registration->ip);
    changed |= update_text(&endpoint->data_centre, registration->data_centre);
    changed |= endpoint->port != registration->port ||
               endpoint->slots != registration->slots ||
               endpoint->draining != registration->draining;
    if (registration->born_ms != 0 &&
        registration->born_ms != endpoint->born_ms) {
        forget_instance(endpoint);
        endpoint->born_ms = registration->born_ms;
        changed = true;
    }
    endpoint->port = registration->port;
    endpoint->slots = registration->slots;
    endpoint->draining = registration->draining;
    return changed;
}

static void
add_peer_load(struct endpoint *endpoint, const struct endpoint_load *load)
{
    struct endpoint_load *others = &endpoint->peer_load;

    others->requests += load->requests;
    others->tokens += load->tokens;
    others->prefill_ms += load->prefill_ms;
    others->unread_value += load->unread_value;
    for (size_t c = 0; c < CATALOG_MAX_GAP_CLASSES; c++) {
        others->streams[c] += load->streams[c];
        others->value[c] += load->value[c];
    }
}

static void
subtract_peer_load(struct endpoint *endpoint, const struct endpoint_load *load)
{
    struct endpoint_load *others = &endpoint->peer_load;

    others->requests -= load->requests;
    others->tokens -= load->tokens;
    others->prefill_ms -= load->prefill_ms;
    others->unread_value -= load->unread_value;
    for (size_t c = 0; c < CATALOG_MAX_GAP_CLASSES; c++) {
        others->streams[c] -= load->streams[c];
        others->value[c] -= load->value[c];
    }
}

static void
for_each_row(const struct endpoints *endpoints, const GArray *rows,
             void (*apply)(struct endpoint *endpoint,
                           const struct endpoint_load *load))
{
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct endpoint_peer_load *row =
            &g_array_index(rows, struct endpoint_peer_load, i);
        struct endpoint *endpoint = endpoints_find(endpoints, row->id);

        if (endpoint != NULL && !row->is_limit) {
            apply(endpoint, &row->load);
        }
    }
}

/* Adds the load that peers reported before the endpoint was known here. */
static void
add_reported_load(const struct endpoints *endpoints, struct endpoint *endpoint)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, endpoints->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GArray *rows = value;

        for (guint i = 0; i < rows->len; i++) {
            const struct endpoint_peer_load *row =
                &g_array_index(rows, struct endpoint_peer_load, i);

            if (!row->is_limit && strcmp(row->id, endpoint->id) == 0) {
                add_peer_load(endpoint, &row->load);
            }
        }
    }
}

static struct endpoint *
create_endpoint(const char *id)
{
    struct endpoint *endpoint = g_new0(struct endpoint, 1);

    endpoint->references = 1;
    endpoint->id = g_strdup(id);
    endpoint->running = g_ptr_array_new();
    return endpoint;
}

/* Returns the removed endpoint of that id, with its reference, or NULL. */
static struct endpoint *
take_removed(struct endpoints *endpoints,
             const struct endpoint_registration *registration)
{
    struct endpoint *endpoint =
        g_hash_table_lookup(endpoints->removed, registration->id);

    if (endpoint == NULL) {
        return NULL;
    }
    g_hash_table_steal(endpoints->removed, registration->id);
    g_queue_delete_link(&endpoints->removed_order, endpoint->removed_link);
    endpoint->removed_link = NULL;
    if (registration->born_ms == 0) {
        forget_instance(endpoint);
    }
    return endpoint;
}

static void
apply_data_centre(const struct endpoints *endpoints, struct endpoint *endpoint)
{
    const struct data_centre *data_centre =
        g_hash_table_lookup(endpoints->data_centres, endpoint->data_centre);

    endpoint->evacuated = data_centre != NULL && data_centre->evacuated;
    endpoint->returned_ms =
        data_centre != NULL &&
                data_centre->returned_revision > endpoint->revision
            ? data_centre->returned_ms
            : 0;
}

static void
apply_registration(const struct endpoints *endpoints,
                   struct endpoint *endpoint,
                   const struct endpoint_registration *registration,
                   uint64_t now_ms)
{
    endpoint->revision = registration->revision;
    cold_set(&endpoint->cold, now_ms + registration->cold_ms, now_ms);
    apply_data_centre(endpoints, endpoint);
}

bool
endpoints_put(struct endpoints *endpoints,
              const struct endpoint_registration *registration,
              uint64_t now_ms)
{
    struct endpoint *endpoint = endpoints_find(endpoints, registration->id);

    if (endpoint != NULL) {
        bool changed = update_registration(endpoint, registration);

        apply_registration(endpoints, endpoint, registration, now_ms);
        return changed || registration->cold_ms > 0;
    }
    endpoint = take_removed(endpoints, registration);
    if (endpoint == NULL) {
        endpoint = create_endpoint(registration->id);
    }
    endpoint->registered = true;
    update_registration(endpoint, registration);
    apply_registration(endpoints, endpoint, registration, now_ms);
    g_hash_table_insert(endpoints->by_id, endpoint->id, endpoint);
    memset(&endpoint->peer_load, 0, sizeof(endpoint->peer_load));
    add_reported_load(endpoints, endpoint);
    return true;
}

/* Takes over a reference. */
static void
keep_removed(struct endpoints *endpoints, struct endpoint *endpoint)
{
    g_hash_table_insert(endpoints->removed, endpoint->id, endpoint);
    g_queue_push_tail(&endpoints->removed_order, endpoint);
    endpoint->removed_link = g_queue_peek_tail_link(&endpoints->removed_order);
    if (g_queue_get_length(&endpoints->removed_order) > MAX_REMOVED) {
        struct endpoint *first = g_queue_pop_head(&endpoints->removed_order);

        g_hash_table_remove(endpoints->removed, first->id);
    }
}

bool
endpoints_remove(struct endpoints *endpoints, const char *id)
{
    struct endpoint *endpoint = endpoints_find(endpoints, id);

    if (endpoint == NULL) {
        return false;
    }
    keep_removed(endpoints, endpoint_ref(endpoint));
    g_hash_table_remove(endpoints->by_id, endpoint->id);
    return true;
}

struct endpoint *
endpoints_find(const struct endpoints *endpoints, const char *id)
{
    return g_hash_table_lookup(endpoints->by_id, id);
}

uint64_t
endpoints_born_ms(const struct endpoints *endpoints, const char *id)
{
    const struct endpoint *endpoint = endpoints_find(endpoints, id);

    if (endpoint == NULL) {
        endpoint = g_hash_table_lookup(endpoints->removed, id);
    }
    return endpoint != NULL ? endpoint->born_ms : 0;
}

GHashTable *
endpoints_by_id(const struct endpoints *endpoints)
{
    return endpoints->by_id;
}

static struct data_centre *
find_or_add_data_centre(struct endpoints *endpoints, const char *name)
{
    struct data_centre *data_centre =
        g_hash_table_lookup(endpoints->data_centres, name);

    if (data_centre == NULL) {
        data_centre = g_new0(struct data_centre, 1);
        g_hash_table_insert(endpoints->data_centres, g_strdup(name),
                            data_centre);
    }
    return data_centre;
}

bool
endpoints_set_evacuated(struct endpoints *endpoints, const char *data_centre,
                        bool evacuated, uint64_t revision, uint64_t now_ms)
{
    struct data_centre *entry =
        find_or_add_data_centre(endpoints, data_centre);
    GHashTableIter iter;
    gpointer value;

    if (entry->evacuated == evacuated) {
        return false;
    }
    entry->evacuated = evacuated;
    if (!evacuated) {
        entry->returned_ms = now_ms;
        entry->returned_revision = revision;
    }
    g_hash_table_iter_init(&iter, endpoints->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct endpoint *endpoint = value;

        if (strcmp(endpoint->data_centre, data_centre) == 0) {
            apply_data_centre(endpoints, endpoint);
            if (!evacuated) {
                endpoint->cold.rate =
                    (struct endpoint_limit){.saved_ms = now_ms};
            }
        }
    }
    return true;
}

bool
endpoint_may_be_cold(const struct endpoint *endpoint, uint64_t now_ms)
{
    return now_ms < endpoint->cold.until_ms || endpoint->returned_ms != 0;
}

uint64_t
endpoint_cold_until_ms(const struct endpoint *endpoint,
                       const struct catalog_service *service)
{
    uint64_t until_ms = endpoint->cold.until_ms;

    if (service->cold_per_s == 0.0) {
        return 0;
    }
    if (endpoint->returned_ms != 0) {
        until_ms =
            MAX(until_ms, endpoint->returned_ms + service->cold_start_ms);
    }
    return until_ms;
}

bool
endpoints_has_data_centre(const struct endpoints *endpoints,
                          const char *data_centre)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, endpoints->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct endpoint *endpoint = value;

        if (strcmp(endpoint->data_centre, data_centre) == 0) {
            return true;
        }
    }
    return false;
}

uint32_t
endpoints_evacuated_count(const struct endpoints *endpoints)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, endpoints->data_centres);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += ((const struct data_centre *)value)->evacuated ? 1 : 0;
    }
    return count;
}

/* Limits of removed endpoints are kept up to date for their return. */
static void
learn_limits(const struct endpoints *endpoints, const GArray *rows,
             uint64_t now_ms)
{
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct endpoint_peer_load *row =
            &g_array_index(rows, struct endpoint_peer_load, i);
        struct endpoint *endpoint = endpoints_find(endpoints, row->id);

        if (endpoint == NULL) {
            endpoint = g_hash_table_lookup(endpoints->removed, row->id);
        }
        if (endpoint != NULL && row->is_limit) {
            endpoint_limit_learn(&endpoint->limit, row->limit_per_s,
                                 now_ms - MIN(row->limit_age_ms, now_ms));
        }
    }
}

uint32_t
endpoints_limited(const struct endpoints *endpoints)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, endpoints->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct endpoint *endpoint = value;

        count += endpoint->limit.per_s > 0.0 ? 1 : 0;
    }
    return count;
}

void
endpoints_set_peer_load(struct endpoints *endpoints, const char *peer,
                        GArray *rows, uint64_t now_ms)
{
    learn_limits(endpoints, rows, now_ms);
    for_each_row(endpoints, g_hash_table_lookup(endpoints->peers, peer),
                 subtract_peer_load);
    for_each_row(endpoints, rows, add_peer_load);
    if (rows != NULL) {
        g_hash_table_replace(endpoints->peers, g_strdup(peer), rows);
    }
    else {
        g_hash_table_remove(endpoints->peers, peer);
    }
}

void
endpoint_add_work(struct endpoint *endpoint, struct endpoint_work *work)
{
    g_ptr_array_add(endpoint->running, work);
}

void
endpoint_remove_work(struct endpoint *endpoint, struct endpoint_work *work)
{
    g_ptr_array_remove(endpoint->running, work);
}

void
endpoint_work_prefilled(struct endpoint *endpoint, struct endpoint_work *work,
                        uint64_t now_ms)
{
    work->prefilled = true;
    endpoint->last_prefill_end_ms = now_ms;
}

/* How much of its expected prefill time the oldest prompt without a first
   event has done, as estimated from the time since its prefill began. */
static double
prefill_done_ms(const struct endpoint *endpoint,
                const struct endpoint_work *oldest, uint64_t now_ms)
{
    uint64_t since_ms = MAX(oldest->started_ms, endpoint->last_prefill_end_ms);

    return MIN((double)(now_ms - since_ms) * min_prefill_speed,
               oldest->prefill_ms * max_prefill_progress);
}

void
endpoint_own_load(const struct endpoint *endpoint, uint64_t now_ms,
                  struct endpoint_load *load)
{
    const struct endpoint_work *oldest = NULL;

    memset(load, 0, sizeof(*load));
    for (guint i = 0; i < endpoint->running->len; i++) {
        const struct endpoint_work *work =
            g_ptr_array_index(endpoint->running, i);

        load->requests++;
        if (!work->prefilled) {
            load->prefill_ms += work->prefill_ms;
            load->unread_value += work->value;
            oldest = oldest != NULL ? oldest : work;
        }
        load->tokens += work->tokens;
        if (work->is_stream) {
            load->streams[work->gap_class]++;
            load->value[work->gap_class] += work->value;
        }
    }
    if (oldest != NULL) {
        load->prefill_ms -= prefill_done_ms(endpoint, oldest, now_ms);
    }
}

/* Load that gateways have reported. */
static void
gateways_load(const struct endpoint *endpoint, uint64_t now_ms,
              struct endpoint_load *load)
{
    endpoint_own_load(endpoint, now_ms, load);
    load->requests += endpoint->peer_load.requests;
    load->prefill_ms += endpoint->peer_load.prefill_ms;
    load->unread_value += endpoint->peer_load.unread_value;
    load->tokens += endpoint->peer_load.tokens;
    for (size_t c = 0; c < CATALOG_MAX_GAP_CLASSES; c++) {
        load->streams[c] += endpoint->peer_load.streams[c];
        load->value[c] += endpoint->peer_load.value[c];
    }
}

void
endpoint_record_reported(struct endpoint *endpoint, uint32_t requests,
                         uint64_t now_ms)
{
    struct endpoint_load load;

    gateways_load(endpoint, now_ms, &load);
    endpoint->unseen_requests = requests - MIN(load.requests, requests);
    endpoint->unseen_ms = now_ms;
}

void
endpoint_load(const struct endpoint *endpoint, uint64_t now_ms,
              struct endpoint_load *load)
{
    uint64_t age_ms = now_ms - endpoint->unseen_ms;

    gateways_load(endpoint, now_ms, load);
    if (endpoint->unseen_requests > 0 && age_ms < UNSEEN_MS) {
        load->requests +=
            (uint32_t)((endpoint->unseen_requests * (UNSEEN_MS - age_ms) +
                        UNSEEN_MS - 1) /
                       UNSEEN_MS);
    }
}

void
endpoint_record_failure(struct endpoint *endpoint, uint64_t now_ms)
{
    uint32_t doublings;

    endpoint->consecutive_failures++;
    if (endpoint->consecutive_failures <= TOLERATED_FAILURES) {
        return;
    }
    doublings = MIN(endpoint->consecutive_failures - TOLERATED_FAILURES - 1,
                    MAX_DOUBLINGS);
    endpoint->avoid_until_ms =
        now_ms + MIN(MIN_AVOID_MS << doublings, MAX_AVOID_MS);
}

void
endpoint_record_success(struct endpoint *endpoint)
{
    endpoint->consecutive_failures = 0;
    endpoint->avoid_until_ms = 0;
}

static void
suspect_data_centre(struct endpoints *endpoints, const char *data_centre,
                    uint64_t until_ms, uint64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, endpoints->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct endpoint *endpoint = value;

        if (strcmp(endpoint->data_centre, data_centre) == 0 &&
            (endpoint->reached_ms == 0 ||
             now_ms > endpoint->reached_ms + REACHED_LATELY_MS)) {
            endpoint->suspected_until_ms = until_ms;
        }
    }
}

bool
endpoints_record_unreachable(struct endpoints *endpoints,
                             struct endpoint *endpoint, uint64_t now_ms)
{
    struct data_centre *data_centre =
        find_or_add_data_centre(endpoints, endpoint->data_centre);
    uint64_t until_ms =
        outage_record_unreachable(&data_centre->outage, now_ms);

    endpoint->consecutive_failures =
        MAX(endpoint->consecutive_failures, TOLERATED_FAILURES);
    endpoint_record_failure(endpoint, now_ms);
    if (until_ms == 0) {
        return false;
    }
    suspect_data_centre(endpoints, endpoint->data_centre, until_ms, now_ms);
    return true;
}

void
endpoints_record_reached(struct endpoints *endpoints,
                         struct endpoint *endpoint, uint64_t now_ms)
{
    struct data_centre *data_centre =
        g_hash_table_lookup(endpoints->data_centres, endpoint->data_centre);

    endpoint->reached_ms = now_ms;
    endpoint->suspected_until_ms = 0;
    if (data_centre != NULL) {
        outage_record_reached(&data_centre->outage);
    }
}
