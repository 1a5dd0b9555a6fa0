#include "gateway/explain.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/catalog.h"
#include "core/endpoints.h"
#include "core/placement.h"
#include "core/room.h"
#include "core/store_revision.h"
#include "gateway/directory.h"
#include "gateway/forward_admission.h"
#include "gateway/explain_query.h"
#include "gateway/forward_placement.h"
#include "gateway/forward_room.h"
#include "gateway/forward_state.h"
#include "gateway/peers.h"
#include "gateway/response_head.h"
#include "gateway/status_server.h"
#include "io/http_message.h"
#include "io/loop.h"

enum {
    WINDOW_MS = 1000,
    RETRY_AFTER_S = 1,
    /* Endpoints that an answer names: 60 KB, by 18 KB for 78 of them. */
    MAX_ENDPOINTS = 256,
};

struct explain {
    struct forwarder *forwarder;
    /* When the last answers were given, in a ring; 0: none. */
    uint64_t answered_ms[EXPLAIN_MAX_PER_S];
    uint32_t next; /* the oldest of them */
};

/* A request that is only asked about. */
struct subject {
    struct forwarder forwarder; /* a copy, with random numbers of its own */
    GByteArray body;            /* only its size is set */
    struct forward forward;
    struct placement_request request;
    struct room_prompt prompt;
    struct room_decision decision;
    bool has_prompt; /* prompt is set */
    json_t *answer;
};

static void
set_outcome(struct subject *subject, const char *outcome, uint32_t status,
            const char *why)
{
    json_object_set_new(subject->answer, "outcome", json_string(outcome));
    json_object_set_new(subject->answer, "why", json_string(why));
    if (status != 0) {
        json_object_set_new(subject->answer, "status",
                            json_integer((json_int_t)status));
    }
}

static void
set_wait(struct subject *subject, uint32_t wait_ms)
{
    if (wait_ms > 0) {
        json_object_set_new(subject->answer, "expected_wait_ms",
                            json_integer((json_int_t)wait_ms));
    }
}

static json_t *
json_ms(uint64_t ms)
{
    return ms > INT64_MAX ? json_null() : json_integer((json_int_t)ms);
}

static void
add_gateway(struct subject *subject)
{
    const struct forwarder *forwarder = &subject->forwarder;
    const struct catalog *catalog =
        directory_catalog(forwarder->deps.directory);
    const GPtrArray *addresses = peers_addresses(forwarder->deps.peers);
    json_t *gateways = json_array();

    for (guint i = 0; i < addresses->len; i++) {
        json_array_append_new(gateways,
                              json_string(g_ptr_array_index(addresses, i)));
    }
    json_object_update_new(
        subject->answer,
        json_pack("{s:s, s:s, s:b, s:I, s:I, s:o, s:o}", "gateway",
                  forwarder->settings.instance, "data_centre",
                  forwarder->settings.data_centre, "draining",
                  forwarder->draining, "config_version",
                  (json_int_t)(catalog != NULL ? catalog_version(catalog) : 0),
                  "store_revision",
                  (json_int_t)store_revision_number(
                      directory_revision(forwarder->deps.directory)),
                  "store_age_ms",
                  json_ms(directory_age_ms(forwarder->deps.directory,
                                           loop_clock_ms())),
                  "gateways", gateways));
}

static void
add_admitted(struct subject *subject)
{
    const struct admitted *admitted = &subject->forward.admitted;
    const struct catalog_route *route = admitted->route;

    json_object_update_new(
        subject->answer,
        json_pack("{s:{s:s, s:I, s:I, s:I}, s:s?, s:f, s:s, s:I}", "route",
                  "name", route->name, "time_limit_ms",
                  (json_int_t)route->time_limit_ms, "first_event_target_ms",
                  (json_int_t)route->first_event_target_ms, "gap_target_ms",
                  (json_int_t)route->gap_target_ms, "account",
                  admitted->account != NULL ? admitted->account->name : NULL,
                  "rank", forward_room_rank(&subject->forward), "service",
                  admitted->service->name, "time_left_ms",
                  (json_int_t)(subject->forward.deadline_ms -
                               subject->forward.started_ms)));
}

static uint32_t
count_streams(const struct endpoint_load *load)
{
    uint32_t count = 0;

    for (size_t i = 0; i < CATALOG_MAX_GAP_CLASSES; i++) {
        count += load->streams[i];
    }
    return count;
}

static json_t *
endpoint_entry(const struct endpoint *endpoint,
               const struct catalog_service *service,
               struct availability result, uint64_t now_ms)
{
    struct endpoint_load load;
    json_t *entry;

    endpoint_load(endpoint, now_ms, &load);
    entry = json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:f, s:I}", "id",
                      endpoint->id, "data_centre", endpoint->data_centre,
                      "state", availability_reason_name(result.reason),
                      "slots", (json_int_t)endpoint->slots, "requests",
                      (json_int_t)load.requests, "streams",
                      (json_int_t)count_streams(&load), "prefill_ms",
                      load.prefill_ms, "tokens", (json_int_t)load.tokens);
    if (service->has_engine) {
        json_object_set_new(
            entry, "kv_tokens",
            json_integer((json_int_t)service->engine.memory_tokens));
    }
    if (endpoint->unseen_ms > 0) {
        json_object_set_new(entry, "reported_age_ms",
                            json_ms(now_ms - endpoint->unseen_ms));
    }
    if (result.reason != AVAILABILITY_OK &&
        result.until_ms != AVAILABILITY_UNKNOWN) {
        json_object_set_new(entry, "left_out_ms",
                            json_ms(result.until_ms - now_ms));
    }
    return entry;
}

static gint
compare_ids(gconstpointer a, gconstpointer b)
{
    const struct endpoint *const *first = a;
    const struct endpoint *const *second = b;

    return strcmp((*first)->id, (*second)->id);
}

static GPtrArray *
list_endpoints(const struct subject *subject)
{
    const char *service = subject->forward.admitted.service->name;
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter,
                           endpoints_by_id(subject->forwarder.deps.endpoints));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct endpoint *endpoint = value;

        if (strcmp(endpoint->service, service) == 0) {
            g_ptr_array_add(list, value);
        }
    }
    g_ptr_array_sort(list, compare_ids);
    return list;
}

static void
add_endpoints(struct subject *subject)
{
    const struct forward *forward = &subject->forward;
    uint64_t now_ms = forward_now_ms(forward);
    struct availability_query query;
    struct availability_list available;
    GPtrArray *list = list_endpoints(subject);
    json_t *candidates = json_array();
    json_t *left_out = json_array();

    forward_fill_query(&subject->forwarder, &forward->admitted,
                       &forward->metadata, &query);
    /* Sets query.uses_failing. */
    availability_candidates(&query, subject->forwarder.deps.endpoints, now_ms,
                            &available);
    availability_list_clear(&available);
    for (guint i = 0; i < MIN(list->len, MAX_ENDPOINTS); i++) {
        const struct endpoint *endpoint = g_ptr_array_index(list, i);
        struct availability result =
            availability_check(&query, endpoint, now_ms);

        json_array_append_new(
            result.reason == AVAILABILITY_OK ? candidates : left_out,
            endpoint_entry(endpoint, query.service, result, now_ms));
    }
    json_object_set_new(subject->answer, "candidates", candidates);
    json_object_set_new(subject->answer, "left_out", left_out);
    json_object_set_new(
        subject->answer, "not_listed",
        json_integer((json_int_t)(list->len - MIN(list->len, MAX_ENDPOINTS))));
    g_ptr_array_free(list, TRUE);
}

static void
add_placement(struct subject *subject)
{
    const struct placement *placement = &subject->forward.assignment.placement;
    json_t *engines = json_array();

    for (uint32_t i = 0; i < placement->count; i++) {
        json_array_append_new(engines, json_string(placement->engines[i]->id));
    }
    json_object_set_new(
        subject->answer, "placement",
        json_pack("{s:o, s:I, s:I, s:f, s:f, s:f}", "endpoints", engines,
                  "holders", (json_int_t)placement->holders, "part_tokens",
                  (json_int_t)placement->part_tokens, "first_event_ms",
                  placement->first_event_ms, "loss", placement->loss,
                  "own_loss", placement->own_loss));
    if (subject->has_prompt) {
        json_object_set_new(
            subject->answer, "room",
            json_pack(
                "{s:f, s:f, s:f, s:f, s:I, s:I, s:b}", "value",
                subject->prompt.value, "engine_ms", subject->prompt.engine_ms,
                "busy_share", subject->prompt.busy_share, "backlog_ms",
                subject->prompt.backlog_ms, "target_left_ms",
                (json_int_t)subject->prompt.target_left_ms, "limit_left_ms",
                (json_int_t)subject->prompt.limit_left_ms, "may_wait",
                subject->prompt.may_wait));
    }
}

static void
decide_room(struct subject *subject)
{
    subject->has_prompt =
        forward_room_decide(&subject->forward, &subject->request,
                            &subject->prompt, &subject->decision);
    add_placement(subject);
    switch (subject->decision.action) {
    case ROOM_PLACE:
        set_outcome(subject,
                    subject->forward.assignment.placement.count > 1 ? "split"
                                                                    : "place",
                    0, "");
        return;
    case ROOM_WAIT:
        set_outcome(subject, "wait", 0, "waits for engines with more room");
        return;
    case ROOM_REFUSE:
        set_outcome(subject, "refuse", STATUS_UNAVAILABLE,
                    "engines are busy with what is worth more");
        set_wait(subject, subject->decision.retry_after_ms);
        return;
    }
}

/* Follows forward_dispatch(). */
static void
decide_dispatch(struct subject *subject)
{
    struct forward *forward = &subject->forward;
    const struct forwarder_deps *deps = &subject->forwarder.deps;
    uint32_t left_ms = 0;

    add_endpoints(subject);
    if (subject->forwarder.settings.evacuate_ms > 0 &&
        directory_is_catching_up(deps->directory, loop_clock_ms(),
                                 subject->forwarder.settings.evacuate_ms)) {
        set_outcome(subject, "wait", 0,
                    "waits for a newer state of the store");
        return;
    }
    if (crash_monitor_would_refuse(deps->crashes,
                                   forward->metadata.shared_parts, deps->peers,
                                   &left_ms)) {
        set_outcome(subject, "refuse", STATUS_UNAVAILABLE,
                    "a part of the prompt crashes endpoints");
        set_wait(subject, left_ms);
        return;
    }
    forward_choose_endpoints(forward, &subject->request);
    if (forward->assignment.placement.count == 0) {
        const struct availability *why = &forward->unavailable;

        set_outcome(subject, "refuse", STATUS_UNAVAILABLE,
                    forward_unplaced_text(why->reason));
        set_wait(subject,
                 forward_unplaced_wait_ms(why, forward_now_ms(forward)));
        return;
    }
    decide_room(subject);
}

static void
set_deadline(struct forward *forward)
{
    uint64_t limit_ms = forward->admitted.route->time_limit_ms;

    if (forward->metadata.has_time_left) {
        limit_ms = MIN(limit_ms, forward->metadata.time_left_ms);
    }
    forward->deadline_ms = forward->started_ms + limit_ms;
}

static void
decide(struct subject *subject, const struct explain_question *question)
{
    struct forward *forward = &subject->forward;
    const struct forwarder *forwarder = &subject->forwarder;
    const struct admission_config config = forward_admission_config(forward);
    const char *why;

    if (forward->catalog == NULL) {
        set_outcome(subject, "wait", 0, "waits for the first configuration");
        return;
    }

    switch (admission_check_named(
        &forwarder->settings.admission, &config, question->account,
        forward->metadata.host, question->path,
        g_rand_double(forwarder->random), &forward->admitted, &why)) {
    case ADMISSION_ACCEPTED:
        break;
    case ADMISSION_NO_ROUTE:
        set_outcome(subject, "no_route", STATUS_NOT_FOUND, why);
        return;
    case ADMISSION_UNKNOWN_KEY:
        set_outcome(subject, "unknown_account", STATUS_UNAUTHORIZED,
                    question->account != NULL
                        ? "no client account of that name"
                        : "the route needs a client account");
        return;
    case ADMISSION_UNAVAILABLE:
        set_outcome(subject, "refuse", STATUS_UNAVAILABLE, why);
        return;
    }
    set_deadline(forward);
    add_admitted(subject);
    if (forward->deadline_ms <= forward->started_ms) {
        set_outcome(subject, "refuse", STATUS_GATEWAY_TIMEOUT, "time over");
        return;
    }
    decide_dispatch(subject);
}

void
explain_write(const struct forwarder *forwarder,
              const struct explain_question *question, GString *out)
{
    struct subject subject = {.forwarder = *forwarder,
                              .body.len = question->body_bytes,
                              .answer = json_object()};
    struct forward *forward = &subject.forward;
    char *text;

    subject.forwarder.random = g_rand_copy(forwarder->random);
    forward->forwarder = &subject.forwarder;
    forward->metadata = question->metadata;
    forward->body = &subject.body;
    forward->catalog = directory_catalog(forwarder->deps.directory);
    forward->started_ms = forward_now_ms(forward);
    add_gateway(&subject);
    decide(&subject, question);
    text = json_dumps(subject.answer, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
    g_string_append(out, text != NULL ? text : "{}");
    g_string_append_c(out, '\n');
    free(text);
    json_decref(subject.answer);
    g_rand_free(subject.forwarder.random);
}

bool
explain_may_answer(struct explain *explain, uint64_t now_ms)
{
    uint64_t *oldest_ms = &explain->answered_ms[explain->next];

    if (*oldest_ms != 0 && now_ms < *oldest_ms + WINDOW_MS) {
        return false;
    }
    *oldest_ms = now_ms;
    explain->next = (explain->next + 1) % EXPLAIN_MAX_PER_S;
    return true;
}

void
explain_reply(void *data, const char *query, GString *out,
              struct status_reply *reply)
{
    struct explain *explain = data;
    struct explain_question question;
    const char *why;

    reply->content_type = "application/json";
    if (!explain_may_answer(explain,
                            loop_now_ms(explain->forwarder->deps.loop))) {
        reply->status = STATUS_TOO_MANY_REQUESTS;
        reply->retry_after_s = RETRY_AFTER_S;
        g_string_append(out, "{\"error\": \"too many questions\"}\n");
        return;
    }
    why = explain_question_parse(query, &question);
    if (why != NULL) {
        reply->status = STATUS_BAD_REQUEST;
        g_string_append_printf(out, "{\"error\": \"%s\"}\n", why);
        return;
    }
    explain_write(explain->forwarder, &question, out);
    explain_question_clear(&question);
}

struct explain *
explain_create(struct forwarder *forwarder)
{
    struct explain *explain = g_new0(struct explain, 1);

    explain->forwarder = forwarder;
    return explain;
}

void
explain_destroy(struct explain *explain)
{
    g_free(explain);
}
