/* Tests the gateway's modules that do no input or output: event streams and
   their latency, the attempt budget, routes and keys, endpoints and their
   load, and the encodings of messages between gateways. */

#include <glib.h>
#include <string.h>

#include "core/attempt_budget.h"
#include "core/availability.h"
#include "core/catalog.h"
#include "core/endpoints.h"
#include "core/event_stream.h"
#include "core/flat_items.h"
#include "core/peer_load.h"
#include "core/request_digest.h"
#include "core/stream_latency.h"
#include "io/store_items.h"

static bool
parse_text(struct event_stream *stream, const char *text, GByteArray *events)
{
    return event_stream_parse(stream, (const uint8_t *)text, strlen(text),
                              events) == EVENT_STREAM_OK;
}

static void
test_events_are_complete(void)
{
    struct event_stream *stream = event_stream_create(NULL);
    GByteArray *events = g_byte_array_new();

    g_assert_true(parse_text(stream, "id: 1\ndata: a\n", events));
    g_assert_cmpuint(events->len, ==, 0);
    g_assert_false(event_stream_is_complete(stream));
    g_assert_true(
        parse_text(stream, "\nid: 2\r\ndata: b\r\n\r\nid: 3\n", events));
    g_assert_cmpuint(events->len, ==,
                     strlen("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"));
    g_assert_cmpstr(event_stream_last_id(stream), ==, "2");
    event_stream_resume(stream);
    g_assert_false(event_stream_is_complete(stream));
    g_assert_true(parse_text(stream, "id: 3\ndata: c\n\n", events));
    g_assert_true(event_stream_is_complete(stream));
    g_assert_cmpstr(event_stream_last_id(stream), ==, "3");
    g_byte_array_unref(events);
    event_stream_destroy(stream);
}

/* Ids that don't rise show that the events come from another run of the
   request. */
static void
test_events_of_another_run(void)
{
    struct event_stream *stream = event_stream_create(NULL);
    GByteArray *events = g_byte_array_new();

    g_assert_null(event_stream_last_id(stream));
    g_assert_true(parse_text(stream, "id: 9\n\nid: 10\n\n", events));
    g_assert_false(parse_text(stream, "id: 10\n\n", events));
    g_assert_false(parse_text(stream, "id: 2\n\n", events));
    g_byte_array_unref(events);
    event_stream_destroy(stream);
}

/* Another run that does not go on with the next event would leave events out
   of the caller's stream, repeat them, or put an error's text there. */
static void
test_resumed_with(void)
{
    static const struct {
        const char *after; /* what the caller had before */
        const char *before;
        bool can_resume;
        const char *bytes;  /* of the other run */
        const char *events; /* NULL: not the rest of the stream */
    } cases[] = {
        {NULL, "id: 1\n\n", true, "id: 2\n\n", "id: 2\n\n"},
        {NULL, "id: 1\n\n", true, ": a\n\nretry: 9\n\nid: 2\n\n", "id: 2\n\n"},
        {NULL, "id: 1\n\n", true, "v: 3\nid: 2\n\n\n", "v: 3\nid: 2\n\n\n"},
        {NULL, "id: 1\n\n", true, "id: 3\n\n", NULL},
        {NULL, "id: 1\n\n", true, "id: 1\n\n", NULL},
        {NULL, "id: 1\n\n", true, "data: a\n\nid: 2\n\n", NULL},
        {NULL, "id: 1\n\n", true, "HTTP/1.1 500 E\r\nA: 2\r\n\r\n", NULL},
        {"7", "id: 8\n\n", true, "id: 10\n\n", NULL},
        {"7", "id: 8\n\n", true, "id: 9\n\n", "id: 9\n\n"},
        /* Ids that count something else than events. */
        {NULL, "id: 5\n\n", true, "id: 9\n\n", "id: 9\n\n"},
        {NULL, "id: 1\n\nid: 4\n\n", true, "id: 9\n\n", "id: 9\n\n"},
        /* What has come after the last id would come twice. */
        {NULL, "id: 1\n\ndata: a\n\n", false, "id: 2\n\n", "id: 2\n\n"},
        {NULL, "data: a\n\n", false, "data: a\n\n", "data: a\n\n"},
        {NULL, ": a\n\n", true, "data: a\n\n", "data: a\n\n"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct event_stream *stream = event_stream_create(cases[i].after);
        GByteArray *events = g_byte_array_new();

        g_assert_true(parse_text(stream, cases[i].before, events));
        g_assert_cmpint(event_stream_can_resume(stream), ==,
                        cases[i].can_resume);
        g_byte_array_set_size(events, 0);
        event_stream_resume(stream);
        g_assert_cmpint(parse_text(stream, cases[i].bytes, events), ==,
                        cases[i].events != NULL);
        g_assert_cmpmem(events->data, events->len, cases[i].events,
                        cases[i].events != NULL ? strlen(cases[i].events) : 0);
        g_byte_array_unref(events);
        event_stream_destroy(stream);
    }
}

/* Events are found wherever the bytes are split. */
static void
test_events_in_parts(void)
{
    static const char text[] = "id: 1\r\ndata: a\r\n\r\n\n: note\n\nid: 7\n\n";

    for (size_t part = 1; part <= strlen(text); part++) {
        struct event_stream *stream = event_stream_create(NULL);
        GByteArray *events = g_byte_array_new();

        for (size_t i = 0; i < strlen(text); i += part) {
            g_assert_cmpint(
                event_stream_parse(stream, (const uint8_t *)text + i,
                                   MIN(part, strlen(text) - i), events),
                ==, EVENT_STREAM_OK);
        }
        g_assert_cmpmem(events->data, events->len, text, strlen(text));
        g_assert_cmpstr(event_stream_last_id(stream), ==, "7");
        g_byte_array_unref(events);
        event_stream_destroy(stream);
    }
}

/* An event without end is neither kept nor read again and again: whatever
   follows the bound, the events before it are there. */
static void
test_endless_event(void)
{
    struct event_stream *stream = event_stream_create(NULL);
    GByteArray *events = g_byte_array_new();
    uint8_t line[1024];
    size_t received = 0;
    enum event_stream_result result = EVENT_STREAM_OK;

    memset(line, 'x', sizeof(line));
    g_assert_true(parse_text(stream, "id: 1\n\nid: 2\ndata: ", events));
    while (result == EVENT_STREAM_OK) {
        received += sizeof(line);
        g_assert_cmpuint(received, <=, EVENT_STREAM_MAX_EVENT_BYTES);
        result = event_stream_parse(stream, line, sizeof(line), events);
    }
    g_assert_cmpint(result, ==, EVENT_STREAM_EVENT_TOO_LONG);
    g_assert_cmpuint(events->len, ==, strlen("id: 1\n\n"));
    g_assert_cmpstr(event_stream_last_id(stream), ==, "1");
    event_stream_resume(stream);
    g_assert_true(parse_text(stream, "id: 2\n\n", events));
    g_byte_array_unref(events);
    event_stream_destroy(stream);
}

static void
test_budget_is_shared(void)
{
    static const struct attempt_budget_settings settings = {
        .window_ms = 10000, .ratio = 0.2, .extra = 100};
    struct attempt_budget *budget = attempt_budget_create(&settings);
    uint32_t retries = 0;

    while (attempt_budget_take(budget, 4, 1000)) {
        retries++;
    }
    /* With four gateways, each may take at most a quarter of the constant. */
    g_assert_cmpuint(retries, >, 10);
    g_assert_cmpuint(retries, <=, 25);
    for (int i = 0; i < 100; i++) {
        attempt_budget_record_request(budget, 2000);
    }
    g_assert_true(attempt_budget_take(budget, 4, 2000));
    /* A retry counts against the budget for one window and not longer. The
       limit is 45 now: 25, and a fifth of the 100 requests. */
    while (attempt_budget_take(budget, 4, 9000)) {
        retries++;
    }
    g_assert_cmpuint(retries + 1, <=, 45);
    g_assert_true(attempt_budget_take(budget, 4, 30000));
    attempt_budget_destroy(budget);
}

static void
add_route(struct catalog *catalog, const char *host, const char *prefix,
          const char *service)
{
    struct catalog_route route = {.name = g_strdup(prefix),
                                  .host = g_strdup(host),
                                  .prefix = g_strdup(prefix),
                                  .is_stream = true,
                                  .gap_target_ms = 250,
                                  .share_count = 1};

    route.shares = g_new0(struct catalog_share, 1);
    route.shares[0].service = g_strdup(service);
    route.shares[0].weight = 1;
    catalog_add_route(catalog, &route);
}

static struct catalog *
create_catalog(void)
{
    static const struct catalog_limits limits = {1, 1, 1, 1};
    struct catalog *catalog = catalog_create(7, &limits);
    struct catalog_service service = {.name = g_strdup("s")};
    struct catalog_account account = {.name = g_strdup("uspon")};

    catalog_add_service(catalog, &service);
    catalog_add_account(catalog, &account);
    catalog_add_key(catalog, "key", "uspon");
    add_route(catalog, "a.example", "/x/", "s");
    add_route(catalog, "a.example", "/x/y/", "s");
    add_route(catalog, "b.example", "/", "gone");
    catalog_finish(catalog);
    return catalog;
}

static void
check_route(const struct catalog *catalog, const char *host,
            const char *target, const char *expected)
{
    const struct catalog_route *route =
        catalog_find_route(catalog, host, target);

    g_assert_cmpstr(route != NULL ? route->name : NULL, ==, expected);
}

static void
test_routes(void)
{
    struct catalog *catalog = create_catalog();

    check_route(catalog, "a.example", "/x/1", "/x/");
    check_route(catalog, "A.example:80", "/x/y/1?q=/z/", "/x/y/");
    check_route(catalog, "a.example", "/x", NULL);
    check_route(catalog, "a.example", "/z?p=/x/", NULL);
    check_route(catalog, "c.example", "/x/1", NULL);
    check_route(catalog, "b.example", "/anything", "/");
    /* The route's service is not in the catalog. */
    g_assert_null(catalog_pick_service(
        catalog, catalog_find_route(catalog, "b.example", "/"), 0.5));
    g_assert_cmpstr(catalog_find_account(catalog, "key")->name, ==, "uspon");
    g_assert_null(catalog_find_account(catalog, "KEY"));
    catalog_unref(catalog);
}

static struct endpoint_registration
make_entry(const char *id, bool draining)
{
    return (struct endpoint_registration){.id = id,
                                          .service = "s",
                                          .ip = "127.0.0.1",
                                          .port = 80,
                                          .data_centre = "here",
                                          .slots = 4,
                                          .draining = draining};
}

static void
put(struct endpoints *endpoints, const char *id, bool draining)
{
    struct endpoint_registration entry = make_entry(id, draining);

    endpoints_put(endpoints, &entry, 0);
}

static guint
count_usable(const struct endpoints *endpoints, uint64_t now_ms)
{
    const struct catalog_service service = {.name = (char[]){"s"}};
    struct availability_query query = {.service = &service};
    struct availability_list list;
    guint count;

    availability_candidates(&query, endpoints, now_ms, &list);
    count = list.candidates->len;
    availability_list_clear(&list);
    return count;
}

static void
test_endpoint_registration(void)
{
    struct endpoints *endpoints = endpoints_create();
    struct endpoint *referenced;
    struct endpoint_work work = {.started_ms = 0, .prefill_ms = 100};

    put(endpoints, "a", false);
    put(endpoints, "b", false);
    put(endpoints, "c", true);
    g_assert_cmpuint(count_usable(endpoints, 0), ==, 2);
    /* An endpoint that is no longer registered can still have work. */
    referenced = endpoint_ref(endpoints_find(endpoints, "a"));
    endpoint_add_work(referenced, &work);
    g_assert_true(endpoints_remove(endpoints, "a"));
    g_assert_false(referenced->registered);
    g_assert_cmpuint(count_usable(endpoints, 0), ==, 1);
    endpoint_remove_work(referenced, &work);
    endpoint_unref(referenced);
    endpoints_destroy(endpoints);
}

/* Guards against a registration that lapses and comes back while the instance
   still runs: what the instance has said of itself was forgotten. */
static void
test_endpoint_returns(void)
{
    struct endpoints *endpoints = endpoints_create();
    struct endpoint_registration entry = make_entry("a", false);
    struct endpoint_work work = {.prefill_ms = 100};
    struct endpoint *endpoint;

    entry.born_ms = 7;
    endpoints_put(endpoints, &entry, 0);
    endpoint = endpoints_find(endpoints, "a");
    endpoint->leaving = true;
    endpoint->closed_until_ms = 5000;
    endpoint_limit_observe(&endpoint->limit, 1.5, 1000);
    endpoint_add_work(endpoint, &work);
    endpoints_remove(endpoints, "a");
    g_assert_null(endpoints_find(endpoints, "a"));
    g_assert_false(endpoints_remove(endpoints, "a"));

    g_assert_true(endpoints_put(endpoints, &entry, 0));
    endpoint = endpoints_find(endpoints, "a");
    g_assert_true(endpoint->registered);
    g_assert_true(endpoint->leaving);
    g_assert_cmpuint(endpoint->closed_until_ms, ==, 5000);
    g_assert_cmpfloat(endpoint->limit.per_s, ==, 1.5);
    g_assert_cmpuint(endpoint->running->len, ==, 1);
    g_assert_cmpuint(count_usable(endpoints, 0), ==, 0);
    endpoint_remove_work(endpoint, &work);

    /* Another instance has said nothing. */
    endpoints_remove(endpoints, "a");
    entry.born_ms = 8;
    endpoints_put(endpoints, &entry, 0);
    endpoint = endpoints_find(endpoints, "a");
    g_assert_false(endpoint->leaving);
    g_assert_cmpuint(endpoint->closed_until_ms, ==, 0);
    g_assert_cmpfloat(endpoint->limit.per_s, ==, 0.0);
    endpoints_destroy(endpoints);
}

/* The endpoints removed first are forgotten first. */
static void
test_removed_endpoints_are_bounded(void)
{
    enum {
        REMOVED = 8192 + 1
    };
    struct endpoints *endpoints = endpoints_create();

    for (uint32_t i = 0; i < REMOVED; i++) {
        char *id = g_strdup_printf("%u", i);
        struct endpoint_registration entry = make_entry(id, false);

        entry.born_ms = 7;
        endpoints_put(endpoints, &entry, 0);
        endpoints_find(endpoints, id)->leaving = true;
        endpoints_remove(endpoints, id);
        g_free(id);
    }
    for (uint32_t i = 0; i < 2; i++) {
        char *id = g_strdup_printf("%u", i);
        struct endpoint_registration entry = make_entry(id, false);

        entry.born_ms = 7;
        endpoints_put(endpoints, &entry, 0);
        g_assert_cmpint(endpoints_find(endpoints, id)->leaving, ==, i > 0);
        g_free(id);
    }
    endpoints_destroy(endpoints);
}

static void
record_failures(struct endpoints *endpoints, const char *id, int times)
{
    for (int i = 0; i < times; i++) {
        endpoint_record_failure(endpoints_find(endpoints, id), 1000);
    }
}

static void
test_failing_endpoints_are_avoided(void)
{
    struct endpoints *endpoints = endpoints_create();

    put(endpoints, "a", false);
    put(endpoints, "b", false);
    put(endpoints, "c", false);
    record_failures(endpoints, "a", 1);
    g_assert_cmpuint(count_usable(endpoints, 1000), ==, 3);
    record_failures(endpoints, "a", 1);
    g_assert_cmpuint(count_usable(endpoints, 1000), ==, 2);
    /* After two failures in a row it is usable again after 500 ms, after more
       failures later, and after a success at once. */
    g_assert_cmpuint(count_usable(endpoints, 1500), ==, 3);
    record_failures(endpoints, "a", 3);
    g_assert_cmpuint(count_usable(endpoints, 1500), ==, 2);
    endpoint_record_success(endpoints_find(endpoints, "a"));
    g_assert_cmpuint(count_usable(endpoints, 1500), ==, 3);
    /* If more than half of them fail, all of them are usable. */
    record_failures(endpoints, "a", 5);
    record_failures(endpoints, "b", 5);
    g_assert_cmpuint(count_usable(endpoints, 1100), ==, 3);
    endpoints_destroy(endpoints);
}

static void
test_prefills_run_in_sequence(void)
{
    struct endpoints *endpoints = endpoints_create();
    struct endpoint_work first = {.started_ms = 0, .prefill_ms = 1000};
    struct endpoint_work second = {.started_ms = 0, .prefill_ms = 500};
    struct endpoint_load load;
    struct endpoint *endpoint;

    put(endpoints, "a", false);
    endpoint = endpoints_find(endpoints, "a");
    endpoint_add_work(endpoint, &first);
    endpoint_add_work(endpoint, &second);
    endpoint_load(endpoint, 400, &load);
    /* The prefill of the first has begun; that of the second has not. */
    g_assert_cmpfloat(load.prefill_ms, >, 1100.0);
    g_assert_cmpfloat(load.prefill_ms, <, 1500.0);
    endpoint_work_prefilled(endpoint, &first, 1000);
    endpoint_load(endpoint, 1000, &load);
    g_assert_cmpfloat(load.prefill_ms, ==, 500.0);
    endpoint_work_prefilled(endpoint, &second, 1500);
    endpoint_load(endpoint, 1500, &load);
    g_assert_cmpfloat(load.prefill_ms, ==, 0.0);
    endpoints_destroy(endpoints);
}

static void
test_peer_load_is_added(void)
{
    struct endpoints *local = endpoints_create();
    struct endpoints *remote = endpoints_create();
    GByteArray *bytes = g_byte_array_new();
    struct endpoint_work work = {.is_stream = true,
                                 .prefill_ms = 80,
                                 .tokens = 5000,
                                 .gap_class = 1,
                                 .value = 1.5};
    struct endpoint_load load;
    guint whole = 0;

    put(local, "a", false);
    put(remote, "a", false);
    put(remote, "unknown here", false);
    endpoint_add_work(endpoints_find(remote, "a"), &work);
    peer_load_encode(remote, 0, bytes);
    endpoints_set_peer_load(local, "there",
                            peer_load_decode(bytes->data, bytes->len), 0);
    endpoint_load(endpoints_find(local, "a"), 0, &load);
    g_assert_cmpuint(load.requests, ==, 1);
    g_assert_cmpuint(load.tokens, ==, 5000);
    g_assert_cmpuint(load.streams[1], ==, 1);
    g_assert_cmpfloat(load.value[1], ==, 1.5);
    /* Each truncation of the encoding is refused, and nothing is read past its
       end. The one between the load's row and the row of unread prompts leaves
       a whole report. */
    for (guint i = 1; i < bytes->len; i++) {
        GArray *rows = peer_load_decode(bytes->data, i);

        if (rows != NULL) {
            whole++;
            g_assert_cmpuint(rows->len, ==, 1);
            endpoints_set_peer_load(local, "there", rows, 0);
            endpoint_load(endpoints_find(local, "a"), 0, &load);
            g_assert_cmpuint(load.requests, ==, 1);
            g_assert_cmpfloat(load.unread_value, ==, 0.0);
        }
    }
    g_assert_cmpuint(whole, ==, 1);
    endpoints_set_peer_load(local, "there", NULL, 0);
    endpoint_load(endpoints_find(local, "a"), 0, &load);
    g_assert_cmpuint(load.requests, ==, 0);
    g_byte_array_unref(bytes);
    endpoints_destroy(local);
    endpoints_destroy(remote);
}

static void
test_store_items_round_trip(void)
{
    struct store_items *items = store_items_create();
    struct store_items *copy;
    GByteArray *bytes = g_byte_array_new();
    const struct store_item *item;

    store_items_add(items, "op/config", (const uint8_t *)"{}", 2, 12);
    store_items_add(items, "servers/a", (const uint8_t *)"\0x", 2, 13);
    store_items_encode(items, bytes);
    copy = store_items_decode(bytes->data, bytes->len);
    g_assert_nonnull(copy);
    g_assert_cmpuint(copy->list->len, ==, 2);
    item = g_ptr_array_index(copy->list, 1);
    g_assert_cmpstr(item->key, ==, "servers/a");
    g_assert_cmpuint(item->revision, ==, 13);
    g_assert_cmpmem(item->bytes, item->count, "\0x", 2);
    store_items_destroy(copy);
    g_assert_null(store_items_decode(bytes->data, bytes->len - 1));
    store_items_destroy(items);
    g_byte_array_unref(bytes);
}

/* An array header of five bytes announces 2^32 - 1 elements. It must be
   refused before msgpack-c allocates memory for them. */
static void
test_nested_items_are_refused(void)
{
    static const uint8_t array[] = {0xdd, 0xff, 0xff, 0xff, 0xff};
    static const uint8_t whole[] = {0x91, 0x01};
    struct flat_items_reader reader = {.bytes = array, .count = sizeof(array)};

    flat_items_read_number(&reader);
    g_assert_true(reader.failed);
    g_assert_null(peer_load_decode(array, sizeof(array)));
    /* Not even one that is whole is unpacked. */
    reader =
        (struct flat_items_reader){.bytes = whole, .count = sizeof(whole)};
    flat_items_read_number(&reader);
    g_assert_true(reader.failed);
    g_assert_cmpuint(reader.offset, ==, 0);
}

static void
test_random_bytes_are_refused(void)
{
    GRand *random = g_rand_new_with_seed(3);

    for (int round = 0; round < 2000; round++) {
        uint8_t bytes[64];
        size_t count = (size_t)g_rand_int_range(random, 1, sizeof(bytes));
        GArray *rows;

        for (size_t i = 0; i < count; i++) {
            bytes[i] = (uint8_t)g_rand_int_range(random, 0, 256);
        }
        rows = peer_load_decode(bytes, count);
        if (rows != NULL) {
            struct endpoints *endpoints = endpoints_create();

            endpoints_set_peer_load(endpoints, "peer", rows, 0);
            endpoints_destroy(endpoints);
        }
        store_items_destroy(store_items_decode(bytes, count));
    }
    g_rand_free(random);
}

static void
test_stream_latency(void)
{
    struct stream_latency latency = {.requested_ms = 100,
                                     .first_event_target_ms = 300,
                                     .gap_target_ms = 250};

    stream_latency_record_event(&latency, 400);
    g_assert_false(stream_latency_is_late(&latency));
    stream_latency_record_event(&latency, 650);
    g_assert_false(stream_latency_is_late(&latency));
    stream_latency_record_event(&latency, 901);
    g_assert_true(stream_latency_is_late(&latency));
    g_assert_cmpuint(latency.first_event_ms, ==, 300);
    g_assert_cmpuint(latency.longest_gap_ms, ==, 251);
}

static bool
is_same_request(const struct request_content *a,
                const struct request_content *b)
{
    char *first = request_digest(a);
    char *second = request_digest(b);
    bool same = strcmp(first, second) == 0;

    g_free(first);
    g_free(second);
    return same;
}

static void
test_request_digest(void)
{
    const struct request_content request = {.account = "uspon",
                                            .method = "POST",
                                            .host = "a.example",
                                            .target = "/x?q=1",
                                            .body = "body",
                                            .body_bytes = 4};
    struct request_content other = request;

    other.host = "A.Example";
    g_assert_true(is_same_request(&request, &other));
    other.account = "other";
    g_assert_false(is_same_request(&request, &other));
    other = request;
    other.method = "PUT";
    g_assert_false(is_same_request(&request, &other));
    other = request;
    other.target = "/x?q=2";
    g_assert_false(is_same_request(&request, &other));
    other = request;
    other.body_bytes = 3;
    g_assert_false(is_same_request(&request, &other));
    /* Fields don't run into each other. */
    other = request;
    other.account = "usponPOST";
    other.method = "";
    g_assert_false(is_same_request(&request, &other));
    other = (struct request_content){0};
    g_assert_true(is_same_request(&other, &other));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/events/whole", test_events_are_complete);
    g_test_add_func("/events/another-run", test_events_of_another_run);
    g_test_add_func("/events/in-parts", test_events_in_parts);
    g_test_add_func("/events/resumed-with", test_resumed_with);
    g_test_add_func("/events/endless", test_endless_event);
    g_test_add_func("/budget/shared", test_budget_is_shared);
    g_test_add_func("/catalog/routes", test_routes);
    g_test_add_func("/endpoints/registration", test_endpoint_registration);
    g_test_add_func("/endpoints/returns", test_endpoint_returns);
    g_test_add_func("/endpoints/removed_are_bounded",
                    test_removed_endpoints_are_bounded);
    g_test_add_func("/endpoints/failing", test_failing_endpoints_are_avoided);
    g_test_add_func("/endpoints/prefills", test_prefills_run_in_sequence);
    g_test_add_func("/peers/counted", test_peer_load_is_added);
    g_test_add_func("/peers/items", test_store_items_round_trip);
    g_test_add_func("/peers/nested", test_nested_items_are_refused);
    g_test_add_func("/peers/random", test_random_bytes_are_refused);
    g_test_add_func("/request-digest", test_request_digest);
    g_test_add_func("/stream-latency", test_stream_latency);
    return g_test_run();
}
