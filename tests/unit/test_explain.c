/* Tests that an explanation names the choice that the next request gets: for
   random states of the endpoints, the request goes through the forwarder from
   its head to the choice of endpoints, as a caller's does. An explanation that
   took a random number, or left anything at an endpoint, would change the
   choices after it. Also tests the rate of answers and the decoding of
   questions. */

#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>
#include <sys/socket.h>

#include "core/endpoints.h"
#include "core/placement.h"
#include "gateway/callers.h"
#include "gateway/crash_monitor.h"
#include "gateway/config_copy.h"
#include "gateway/directory.h"
#include "gateway/explain.h"
#include "gateway/explain_query.h"
#include "gateway/forward_state.h"
#include "gateway/gateway_counters.h"
#include "gateway/holds.h"
#include "gateway/peers.h"
#include "gateway/relay.h"
#include "gateway/upstreams.h"
#include "io/http_message.h"
#include "io/link.h"
#include "io/loop.h"
#include "io/store_items.h"

enum {
    ROUNDS = 1000,
    ENGINES = 10,
    PLAIN = 4,
    SEED = 4711,
};

/* Replace relay_local_reply() and relay_give_up(), by the linker: they record
   the reply, since there is no caller. */
void record_reply(struct forward *forward, uint32_t status,
                  const char *why) __asm__("__wrap_relay_local_reply");
void record_give_up(struct forward *forward, uint32_t status_if_run,
                    const char *why) __asm__("__wrap_relay_give_up");

static const char *replied_why; /* NULL: no reply */
static uint32_t replied_wait_ms;

void
record_reply(struct forward *forward, uint32_t status, const char *why)
{
    (void)status;
    replied_why = why;
    replied_wait_ms = forward->expected_wait_ms;
}

void
record_give_up(struct forward *forward, uint32_t status_if_run,
               const char *why)
{
    record_reply(forward, status_if_run, why);
}

static const char config[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"plain\",\"host\":\"h\",\"prefix\":\"/plain/\","
    "\"kind\":\"safe\",\"timeout_ms\":4000,\"target_latency_ms\":300,"
    "\"priority\":2,\"service\":\"plain\",\"max_attempts\":2},"
    "{\"name\":\"short\",\"host\":\"h\",\"prefix\":\"/short/\","
    "\"kind\":\"streaming\",\"timeout_ms\":10000,\"target_latency_ms\":300,"
    "\"priority\":0,\"service\":\"model\",\"max_attempts\":2,"
    "\"public\":true,\"resumable\":true,\"gap_aim_ms\":250},"
    "{\"name\":\"long\",\"host\":\"h\",\"prefix\":\"/long/\","
    "\"kind\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":4000,"
    "\"priority\":1,\"max_attempts\":2,\"public\":true,\"resumable\":true,"
    "\"gap_aim_ms\":1000,\"traffic_split\":["
    "{\"service\":\"model\",\"weight\":1},"
    "{\"service\":\"other\",\"weight\":1}]}],"
    "\"services\":["
    "{\"name\":\"plain\",\"max_conns\":100000},"
    "{\"name\":\"model\",\"max_conns\":100000,\"cold_start_s\":20,"
    "\"cold_per_s\":26,\"engine\":{\"slots\":12,\"kv_capacity\":267750,"
    "\"stride\":10,\"step_ms\":1.5,\"per_seq_ms\":0.001,"
    "\"context_per_k\":0.002,\"read_per_s\":177000.0,\"pairs_per_m\":0.16,"
    "\"chunk\":2048}},"
    "{\"name\":\"other\",\"max_conns\":100000,\"engine\":{\"slots\":12,"
    "\"kv_capacity\":405000,\"stride\":10,\"step_ms\":1.5,"
    "\"per_seq_ms\":0.001,\"context_per_k\":0.002,\"read_per_s\":154000.0,"
    "\"pairs_per_m\":0.16,\"chunk\":2048}}],"
    "\"limits\":{},\"tenants\":[{\"name\":\"acct\","
    "\"api_keys\":[\"key-1\"],\"priority\":1}]}";

struct fixture {
    struct endpoints *endpoints;
    struct forwarder *forwarder;
    struct loop *loop;
    uint16_t port; /* that all endpoints have; connections are not accepted */
    GRand *random;
};

static void
on_catalog(void *data, struct catalog *catalog)
{
    (void)data;
    (void)catalog;
}

static void
on_gateways(void *data)
{
    (void)data;
}

static void
on_crash_item(void *data, const struct store_item *item)
{
    (void)data;
    (void)item;
}

static struct directory *
create_directory(struct endpoints *endpoints)
{
    static const struct directory_handlers handlers = {
        on_catalog, on_gateways, on_crash_item, NULL, NULL};
    static const struct config_copy_settings settings = {.loop = NULL};
    struct directory *directory =
        directory_create(endpoints, &settings, &handlers, NULL);
    struct store_items *items = store_items_create();
    uint64_t now_ms = loop_clock_ms();

    store_items_add(items, "op/config", (const uint8_t *)config,
                    strlen(config), 10);
    items->revision = 10;
    directory_apply(directory, items, true, now_ms, "peer", now_ms);
    store_items_destroy(items);
    g_assert_nonnull(directory_catalog(directory));
    return directory;
}

static uint16_t
listen_somewhere(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, size), ==, 0);
    g_assert_cmpint(listen(fd, 1), ==, 0);
    g_assert_cmpint(getsockname(fd, (struct sockaddr *)&address, &size), ==,
                    0);
    return ntohs(address.sin_port);
}

/* Lasts as long as the process, as a gateway's parts do. */
static void
create_fixture(struct fixture *fixture)
{
    static const struct link_identity identity = {"g", "here", 1, 0};
    static char *seeds[] = {NULL};
    static const struct peers_settings peers = {
        .ip = "127.0.0.1", .seeds = seeds, .min_load_interval_ms = 100};
    static const struct crash_monitor_settings crashes = {.instance = "g",
                                                          .period_ms = 10000};
    const struct forwarder_settings settings = {.instance = "g",
                                                .data_centre = "here",
                                                .admission.revoke_ms = 600000,
                                                .admission.apply_ms = 2000,
                                                .max_waiting = 256,
                                                .cold_overage = 1.5,
                                                .cold_slack = 5.0,
                                                .budget_window_ms = 10000,
                                                .budget_ratio = 0.1,
                                                .budget_extra = 10.0};
    struct forwarder_deps deps;

    gateway_counters_init();
    *fixture = (struct fixture){.endpoints = endpoints_create(),
                                .loop = loop_create(),
                                .port = listen_somewhere(),
                                .random = g_rand_new_with_seed(SEED)};
    deps = (struct forwarder_deps){.loop = fixture->loop,
                                   .endpoints = fixture->endpoints};
    deps.directory = create_directory(fixture->endpoints);
    deps.upstreams = upstreams_create(fixture->loop);
    deps.holds = holds_create(fixture->loop, deps.upstreams, "g");
    deps.crashes =
        crash_monitor_create(fixture->loop, deps.upstreams, NULL, &crashes);
    deps.peers = peers_create(fixture->loop, &peers, &identity, deps.directory,
                              fixture->endpoints);
    g_assert_nonnull(deps.peers);
    fixture->forwarder = forwarder_create(&deps, &settings);
    g_rand_set_seed(fixture->forwarder->random, SEED);
}

static bool
chance(struct fixture *fixture, double share)
{
    return g_rand_double(fixture->random) < share;
}

static uint64_t
later(struct fixture *fixture, double share)
{
    return chance(fixture, share)
               ? loop_now_ms(fixture->loop) +
                     (uint64_t)g_rand_int_range(fixture->random, 1, 5000)
               : 0;
}

static void
put_endpoint(struct fixture *fixture, const char *id, const char *service)
{
    const struct endpoint_registration registration = {
        .id = id,
        .service = service,
        .ip = "127.0.0.1",
        .port = fixture->port,
        .data_centre = chance(fixture, 0.5) ? "here" : "there",
        .slots = 12,
        .draining = chance(fixture, 0.1),
        .born_ms = 1,
        .cold_ms = chance(fixture, 0.2) ? 5000 : 0};
    struct endpoint *endpoint;

    endpoints_put(fixture->endpoints, &registration,
                  loop_now_ms(fixture->loop));
    endpoint = endpoints_find(fixture->endpoints, id);
    endpoint->leaving = chance(fixture, 0.1);
    endpoint->evacuated = chance(fixture, 0.1);
    endpoint->closed_until_ms = later(fixture, 0.2);
    endpoint->avoid_until_ms = later(fixture, 0.2);
    endpoint->consecutive_failures = 0;
    endpoint->limit.per_s = chance(fixture, 0.1) ? 5.0 : 0.0;
    endpoint_record_reported(endpoint,
                             (uint32_t)g_rand_int_range(fixture->random, 0, 9),
                             loop_now_ms(fixture->loop));
}

static void
add_load(struct fixture *fixture, GArray *rows, const char *id, double busy)
{
    struct endpoint_peer_load row = {.id = g_strdup(id)};

    row.load.requests = (uint32_t)g_rand_int_range(fixture->random, 0, 12);
    if (chance(fixture, busy)) {
        row.load.prefill_ms = g_rand_double_range(fixture->random, 0, 6000);
        row.load.unread_value = g_rand_double_range(fixture->random, 0, 20);
    }
    row.load.tokens = (uint64_t)g_rand_int_range(fixture->random, 0, 150000);
    row.load.streams[0] = row.load.requests;
    row.load.value[0] = g_rand_double_range(fixture->random, 0, 10);
    g_array_append_val(rows, row);
}

static void
randomise(struct fixture *fixture)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct endpoint_peer_load));
    double busy = g_rand_double(fixture->random);
    double known = g_rand_double(fixture->random);

    for (int i = 0; i < ENGINES * 2 + PLAIN; i++) {
        const char *service = i < PLAIN             ? "plain"
                              : i < PLAIN + ENGINES ? "model"
                                                    : "other";
        char *id = g_strdup_printf("e%d", i);

        put_endpoint(fixture, id, service);
        /* In some rounds there are few endpoints, or none. */
        if (!chance(fixture, known)) {
            endpoints_remove(fixture->endpoints, id);
        }
        else {
            add_load(fixture, rows, id, busy);
        }
        g_free(id);
    }
    endpoints_set_peer_load(fixture->endpoints, "p", rows,
                            loop_now_ms(fixture->loop));
}

struct request {
    const char *path;
    char *query;
    char *usage;
};

static struct request
random_request(struct fixture *fixture)
{
    static const struct {
        const char *path;
        int32_t max_tokens;
    } kinds[] = {{"/plain/x", 1},
                 {"/short/x", 23800},
                 {"/long/x", 700000},
                 {"/nothing", 1}};
    int32_t kind = g_rand_int_range(fixture->random, 0, G_N_ELEMENTS(kinds));
    int32_t tokens =
        g_rand_int_range(fixture->random, 0, kinds[kind].max_tokens);
    /* One in ten requests has an unknown account. */
    const char *account = chance(fixture, 0.1) ? "nobody" : "acct";

    return (struct request){
        .path = kinds[kind].path,
        .usage = g_strdup_printf("%d,100", tokens),
        .query = g_strdup_printf("host=h&path=%s&account=%s&prompt_tokens=%d&"
                                 "output_tokens=100",
                                 kinds[kind].path, account, tokens)};
}

static json_t *
explain(struct fixture *fixture, const char *query)
{
    struct explain_question question;
    GString *text = g_string_new(NULL);
    json_t *json;

    g_assert_null(explain_question_parse(query, &question));
    explain_write(fixture->forwarder, &question, text);
    explain_question_clear(&question);
    json = json_loads(text->str, 0, NULL);
    g_assert_nonnull(json);
    g_string_free(text, TRUE);
    return json;
}

static const char *
text_of(const json_t *json, const char *name)
{
    return json_string_value(json_object_get(json, name));
}

static void
check_placement(const json_t *answer, const struct forward *forward)
{
    const struct placement *placement = &forward->assignment.placement;
    const json_t *json = json_object_get(answer, "placement");
    const json_t *ids = json_object_get(json, "endpoints");

    g_assert_cmpuint(json_array_size(ids), ==, placement->count);
    for (uint32_t i = 0; i < placement->count; i++) {
        g_assert_cmpstr(json_string_value(json_array_get(ids, i)), ==,
                        placement->engines[i]->id);
    }
    g_assert_cmpint(json_integer_value(json_object_get(json, "holders")), ==,
                    placement->holders);
}

/* Returns the outcome, which is compared with the explanation's. */
static const char *
check_decision(const json_t *answer, const struct forward *forward)
{
    const char *outcome = text_of(answer, "outcome");

    if (replied_why != NULL) {
        g_assert_cmpint(
            json_integer_value(json_object_get(answer, "expected_wait_ms")),
            ==, replied_wait_ms);
        if (strcmp(outcome, "unknown_account") != 0) {
            g_assert_cmpstr(text_of(answer, "why"), ==, replied_why);
        }
        g_assert_true(strcmp(outcome, "refuse") == 0 ||
                      strcmp(outcome, "no_route") == 0 ||
                      strcmp(outcome, "unknown_account") == 0);
        return outcome;
    }
    g_assert_cmpstr(text_of(answer, "service"), ==,
                    forward->admitted.service->name);
    check_placement(answer, forward);
    if (forward->room_since_ms != 0) {
        g_assert_cmpstr(outcome, ==, "wait");
    }
    else {
        g_assert_cmpstr(outcome, ==,
                        forward->assignment.placement.count > 1 ? "split"
                                                                : "place");
    }
    return outcome;
}

/* Sends the request through the forwarder and compares. */
static char *
check_request(struct fixture *fixture, const struct request *request)
{
    bool is_known = strstr(request->query, "nobody") == NULL;
    const struct http_header headers[] = {
        {"Host", "h"},
        {"Token-Usage", request->usage},
        {"Credential", is_known ? "key-1" : "key-2"}};
    const struct http_head head = {.method = "POST",
                                   .target = request->path,
                                   .headers = headers,
                                   .header_count = G_N_ELEMENTS(headers)};
    GByteArray *body = g_byte_array_new();
    json_t *answer = explain(fixture, request->query);
    struct forward *forward =
        forwarder_handlers.begin(fixture->forwarder, NULL, &head);
    char *outcome;

    replied_why = NULL;
    forwarder_handlers.request(forward, body);
    outcome = g_strdup(check_decision(answer, forward));
    forwarder_handlers.ended(forward, false);
    json_decref(answer);
    g_byte_array_unref(body);
    return outcome;
}

static void
test_equals_next_decision(void)
{
    static const char *const outcomes[] = {
        "place", "split", "wait", "refuse", "no_route", "unknown_account"};
    GHashTable *counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct fixture fixture;

    create_fixture(&fixture);
    for (int round = 0; round < ROUNDS; round++) {
        struct request request;
        char *outcome;

        randomise(&fixture);
        request = random_request(&fixture);
        outcome = check_request(&fixture, &request);
        g_hash_table_replace(
            counts, outcome,
            GINT_TO_POINTER(
                GPOINTER_TO_INT(g_hash_table_lookup(counts, outcome)) + 1));
        g_free(request.query);
        g_free(request.usage);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
        int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, outcomes[i]));

        g_test_message("%s: %d", outcomes[i], count);
        g_assert_cmpint(count, >, 0);
    }
    g_hash_table_destroy(counts);
    g_rand_free(fixture.random);
}

static void
test_rate(void)
{
    struct explain *explain = explain_create(NULL);
    uint32_t in_window = 0;

    /* Three questions a millisecond for five seconds: never more than the
       bound in any second, also across the end of one. */
    for (uint64_t now_ms = 10000; now_ms < 15000; now_ms++) {
        if (now_ms % 1000 == 0) {
            g_assert_cmpuint(in_window, <=, EXPLAIN_MAX_PER_S);
            in_window = 0;
        }
        for (int i = 0; i < 3; i++) {
            in_window += explain_may_answer(explain, now_ms) ? 1 : 0;
        }
    }
    g_assert_cmpuint(in_window, ==, EXPLAIN_MAX_PER_S);
    explain_destroy(explain);
    explain = explain_create(NULL);
    /* Late in one second and early in the next. */
    for (int i = 0; i < EXPLAIN_MAX_PER_S; i++) {
        g_assert_true(explain_may_answer(explain, 10900));
    }
    g_assert_false(explain_may_answer(explain, 11100));
    g_assert_true(explain_may_answer(explain, 11900));
    explain_destroy(explain);
}

static void
test_wrong_questions(void)
{
    static const char *const wrong[] = {
        NULL,
        "",
        "host",
        "path=/x",
        "host=h&key=secret",
        "host=h&prompt_tokens=secret",
        "host=h&prompt_tokens=-1",
        "host=h&deadline_ms=99999999999999999999",
        "host=%zzsecret",
        "host=%00secret",
        "host=%ffsecret"};

    for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
        struct explain_question question;
        const char *why = explain_question_parse(wrong[i], &question);

        g_assert_nonnull(why);
        g_assert_null(strstr(why, "secret"));
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/explain/equals_next_decision",
                    test_equals_next_decision);
    g_test_add_func("/explain/rate", test_rate);
    g_test_add_func("/explain/wrong_questions", test_wrong_questions);
    return g_test_run();
}
