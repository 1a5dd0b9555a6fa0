/* Feeds randomly changed inputs to everything that parses bytes of other
   processes. Nothing may crash, hang or, under the sanitizers, touch memory
   that isn't its own. MUTATIONS_SEED selects other changes and
   MUTATIONS_ROUNDS their number; the input of a failed run is written to
   standard error. */

#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/byte_patch.h"
#include "core/call_metadata.h"
#include "core/catalog.h"
#include "core/claim.h"
#include "core/config.h"
#include "core/config_head.h"
#include "core/crash_report.h"
#include "core/endpoints.h"
#include "core/event_stream.h"
#include "core/message.h"
#include "core/peer_load.h"
#include "core/quarantine.h"
#include "core/tables.h"
#include "entry/prompt.h"
#include "io/http_connection.h"
#include "io/http_message.h"
#include "io/loop.h"
#include "io/store_items.h"
#include "platform/config_reader.h"
#include "platform/platform_endpoint.h"
#include "platform/platform_http.h"
#include "platform/platform_store.h"

enum {
    DEFAULT_ROUNDS = 1500,
    MAX_CHANGES = 6,
    MAX_REPEATS = 300,
    MAX_HEAD_BYTES = 16 * 1024,
    DECIMAL = 10,
};

/* Texts that parsers treat in a special way. */
static const char *const tokens[] = {"\r\n",
                                     "\n\n",
                                     "\0",
                                     "{",
                                     "[",
                                     "\"",
                                     "\\u0000",
                                     "1e999",
                                     "-1",
                                     "99999999999999999999",
                                     "null",
                                     "chunked",
                                     "Content-Length: 5\r\n",
                                     "Transfer-Encoding: chunked\r\n",
                                     "HTTP/1.1 100 Continue\r\n\r\n",
                                     "id: 18446744073709551616\n",
                                     ";",
                                     "=",
                                     "*",
                                     "\xff",
                                     "\xdd\xff\xff",
                                     "\xc6\xff\xff\xff\xff",
                                     "\xcf\xff\xff\xff\xff\xff\xff\xff\xff"};

static const GByteArray *current_input;

/* The input of a crash. */
static void
print_input(int signal_number)
{
    static const char note[] = "\nlast input:\n";

    if (current_input != NULL &&
        write(STDERR_FILENO, note, strlen(note)) >= 0 &&
        write(STDERR_FILENO, current_input->data, current_input->len) < 0) {
        _exit(1);
    }
    signal(signal_number, SIG_DFL);
    raise(signal_number);
}

static guint
random_offset(GRand *rand, const GByteArray *bytes)
{
    return bytes->len == 0
               ? 0
               : (guint)g_rand_int_range(rand, 0, (gint32)bytes->len);
}

static void
insert(GByteArray *bytes, guint at, const void *inserted, guint count)
{
    guint tail = bytes->len - at;

    g_byte_array_set_size(bytes, bytes->len + count);
    memmove(bytes->data + at + count, bytes->data + at, tail);
    memcpy(bytes->data + at, inserted, count);
}

static void
change(GByteArray *bytes, GRand *rand)
{
    guint at = random_offset(rand, bytes);
    guint count = random_offset(rand, bytes);
    const char *token =
        tokens[g_rand_int_range(rand, 0, G_N_ELEMENTS(tokens))];
    guint8 byte = (guint8)g_rand_int_range(rand, 0, 256);

    switch (g_rand_int_range(rand, 0, 6)) {
    case 0:
        if (bytes->len > 0) {
            bytes->data[at] = byte;
        }
        break;
    case 1:
        insert(bytes, at, &byte, 1);
        break;
    case 2:
        insert(bytes, at, token, (guint)MAX(strlen(token), 1));
        break;
    case 3:
        count = MIN(count, bytes->len - at);
        if (count > 0) {
            g_byte_array_remove_range(bytes, at, count);
        }
        break;
    case 4:
        g_byte_array_set_size(bytes, at);
        break;
    default:
        for (gint32 i = g_rand_int_range(rand, 0, MAX_REPEATS); i > 0; i--) {
            insert(bytes, at, token, (guint)MAX(strlen(token), 1));
        }
        break;
    }
}

static guint32
environment_number(const char *name, guint32 default_value)
{
    const char *text = g_getenv(name);

    return text != NULL ? (guint32)g_ascii_strtoull(text, NULL, DECIMAL)
                        : default_value;
}

/* Calls the parser with the sample itself and with changed copies of it. */
static void
feed(const void *sample, size_t count, void (*parse)(const GByteArray *input))
{
    guint32 seed = environment_number("MUTATIONS_SEED", 1);
    guint32 rounds = environment_number("MUTATIONS_ROUNDS", DEFAULT_ROUNDS);
    GRand *rand = g_rand_new_with_seed(seed);

    for (guint32 i = 0; i < rounds; i++) {
        GByteArray *input =
            g_byte_array_append(g_byte_array_new(), sample, (guint)count);
        gint32 changes = i == 0 ? 0 : g_rand_int_range(rand, 1, MAX_CHANGES);

        while (changes-- > 0) {
            change(input, rand);
        }
        current_input = input;
        parse(input);
        current_input = NULL;
        g_byte_array_unref(input);
    }
    g_rand_free(rand);
}

static void
feed_text(const char *sample, void (*parse)(const GByteArray *input))
{
    feed(sample, strlen(sample), parse);
}

/* HTTP. */

struct exchange {
    struct loop *loop;
    struct http_connection *connection;
    bool server;
    int fd; /* the other end */
};

static void
on_head(void *data, const struct http_head *head)
{
    struct exchange *exchange = data;
    struct request_metadata request;
    struct response_metadata response;
    GByteArray *out;

    if (!exchange->server) {
        platform_http_decode_response(head, "id", true, &response);
        return;
    }
    out = g_byte_array_new();
    platform_http_decode_request(head, &request);
    platform_http_write_request_head(out, head);
    platform_http_request_clear(&request);
    g_byte_array_unref(out);
}

static void
on_body(void *data, const uint8_t *bytes, size_t count)
{
    (void)data;
    (void)bytes;
    g_assert_cmpuint(count, >, 0);
}

static void
on_complete(void *data)
{
    struct exchange *exchange = data;

    http_connection_next(exchange->connection, false);
}

static void
on_ended(void *data, enum http_connection_end end)
{
    struct exchange *exchange = data;

    g_assert_cmpuint(strlen(http_connection_end_text(end)), >, 0);
    loop_stop(exchange->loop);
}

static const struct http_connection_handlers connection_handlers = {
    .head = on_head,
    .body = on_body,
    .complete = on_complete,
    .ended = on_ended,
};

static const struct http_connection_settings connection_settings = {
    .max_head_bytes = MAX_HEAD_BYTES};

/* Creates the server side. Returns the other end. */
static int
open_server(struct exchange *exchange)
{
    int ends[2];

    g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends),
                    ==, 0);
    exchange->connection =
        http_connection_accept(exchange->loop, ends[0], &connection_settings,
                               &connection_handlers, exchange);
    return ends[1];
}

/* Creates the client side. Returns the other end. */
static int
open_client(struct exchange *exchange)
{
    static int listener = -1;
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);

    if (listener < 0) {
        listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        g_assert_cmpint(
            bind(listener, (struct sockaddr *)&address, sizeof(address)), ==,
            0);
        g_assert_cmpint(listen(listener, 1), ==, 0);
    }
    getsockname(listener, (struct sockaddr *)&address, &size);
    exchange->connection = http_connection_connect(
        exchange->loop, "127.0.0.1", ntohs(address.sin_port),
        &connection_settings, &connection_handlers, exchange);
    return accept(listener, NULL, NULL);
}

/* Sends the input and closes this end; the connection must end. */
static void
run_exchange(const GByteArray *input, bool server)
{
    static struct loop *loop;
    struct exchange exchange = {.server = server};
    int fd;

    if (loop == NULL) {
        loop = loop_create();
    }
    exchange.loop = loop;
    fd = server ? open_server(&exchange) : open_client(&exchange);
    g_assert_nonnull(exchange.connection);
    http_connection_next(exchange.connection, false);
    g_assert_cmpint(send(fd, input->data, input->len, MSG_NOSIGNAL), >=, 0);
    close(fd);
    loop_run(loop);
    http_connection_destroy(exchange.connection);
}

static void
parse_request(const GByteArray *input)
{
    run_exchange(input, true);
}

static void
parse_response(const GByteArray *input)
{
    run_exchange(input, false);
}

static void
test_requests(void)
{
    feed_text("POST /stream/x?a=1 HTTP/1.1\r\nHost: a.example\r\n"
              "Attempt-Id: 7\r\nDeadline-Ms: 1500\r\nToken-Usage: 10,20\r\n"
              "Connection: X-Odd\r\nX-Odd: y\r\n"
              "Transfer-Encoding: chunked\r\n\r\n"
              "3;x=y\r\nabc\r\n0\r\nX-Trailer: z\r\n\r\n"
              "GET /plain/ HTTP/1.1\r\nHost: a\r\n\r\n",
              parse_request);
}

static void
test_responses(void)
{
    feed_text("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
              "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nKeep-Alive: timeout=5\r\n"
              "Content-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n"
              "a\r\nid: 1\n\nid:\r\n0\r\n\r\n",
              parse_response);
    feed_text("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
              "Content-Length: 4\r\n\r\nfull",
              parse_response);
}

static void
parse_events(const GByteArray *input)
{
    struct event_stream *stream = event_stream_create(NULL);
    GByteArray *events = g_byte_array_new();

    event_stream_parse(stream, input->data, input->len, events);
    g_assert_cmpuint(events->len, <=, input->len);
    g_byte_array_unref(events);
    event_stream_destroy(stream);
}

static void
test_events(void)
{
    feed_text("id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\n\r\nid: 3",
              parse_events);
}

/* What processes send each other. */

static void
parse_items(const GByteArray *input)
{
    store_items_destroy(store_items_decode(input->data, input->len));
}

static void
test_store_items(void)
{
    struct store_items *items = store_items_create();
    GByteArray *sample = g_byte_array_new();

    store_items_add(items, "op/config", (const uint8_t *)"{}", 2, 7);
    store_items_add(items, "servers/a", NULL, 0, 9);
    store_items_encode(items, sample);
    feed(sample->data, sample->len, parse_items);
    g_byte_array_unref(sample);
    store_items_destroy(items);
}

static void
parse_load(const GByteArray *input)
{
    GArray *loads = peer_load_decode(input->data, input->len);

    for (guint i = 0; loads != NULL && i < loads->len; i++) {
        g_free(g_array_index(loads, struct endpoint_peer_load, i).id);
    }
    if (loads != NULL) {
        g_array_unref(loads);
    }
}

static void
test_peer_load(void)
{
    struct endpoints *endpoints = endpoints_create();
    const struct endpoint_registration registration = {.id = "a",
                                                       .service = "s",
                                                       .ip = "127.0.0.1",
                                                       .port = 1,
                                                       .data_centre = "z",
                                                       .slots = 1};
    struct endpoint_work work = {.started_ms = 1, .tokens = 5};
    GByteArray *sample = g_byte_array_new();

    endpoints_put(endpoints, &registration, 0);
    endpoint_add_work(endpoints_find(endpoints, "a"), &work);
    peer_load_encode(endpoints, 2, sample);
    g_assert_cmpuint(sample->len, >, 0);
    feed(sample->data, sample->len, parse_load);
    endpoint_remove_work(endpoints_find(endpoints, "a"), &work);
    g_byte_array_unref(sample);
    endpoints_destroy(endpoints);
}

/* As another gateway of this one's store would take the report. */
static void
parse_crash_report(const GByteArray *input)
{
    struct crash_report *report = crash_report_decode(input->data, input->len);
    struct quarantine *quarantine = quarantine_create(1000);

    if (report != NULL) {
        quarantine_add_report(quarantine, report, 1, 1);
        quarantine_add_report(quarantine, report, 2, 1);
    }
    quarantine_destroy(quarantine);
    crash_report_destroy(report);
}

static void
test_crash_reports(void)
{
    /* Empty texts. */
    static const uint8_t no_gateway[] = {0xa0, 0xa1, 'e', 1, 1};
    static const uint8_t no_endpoint[] = {0xa1, 'g', 0xa0, 1, 1};
    static const uint8_t no_part[] = {0xa1, 'g', 0xa1, 'e', 1, 1, 0xa0, 0};
    struct crash_report *report = crash_report_create("g", "e", 1, 1);
    GByteArray *sample = g_byte_array_new();

    crash_report_add(report, "aa", 0);
    crash_report_add(report, "bb", 1);
    crash_report_encode(report, sample);
    feed(sample->data, sample->len, parse_crash_report);
    feed(no_gateway, sizeof(no_gateway), parse_crash_report);
    feed(no_endpoint, sizeof(no_endpoint), parse_crash_report);
    feed(no_part, sizeof(no_part), parse_crash_report);
    g_byte_array_unref(sample);
    crash_report_destroy(report);
}

static void
parse_frame(const GByteArray *input)
{
    struct message message;
    const char *why = NULL;

    if (!message_decode(input->data, input->len, &message, &why)) {
        g_assert_nonnull(why);
    }
}

static void
test_frames(void)
{
    const struct message hello = {.type = MESSAGE_HELLO,
                                  .version = MESSAGE_VERSION,
                                  .instance = "a",
                                  .data_centre = "z"};
    GByteArray *sample = g_byte_array_new();

    message_encode(&hello, sample);
    g_byte_array_remove_range(sample, 0, sizeof(uint32_t));
    feed(sample->data, sample->len, parse_frame);
    g_byte_array_unref(sample);
}

static void
parse_store_response(const GByteArray *input)
{
    GError *error = NULL;
    struct store_items *items =
        platform_store_decode_items(input->data, input->len, "events", &error);

    g_assert_true((items == NULL) == (error != NULL));
    store_items_destroy(items);
    g_clear_error(&error);
}

/* Values with and without escapes, an empty one, a removal, and members that a
   gateway does not know. */
static void
test_store_responses(void)
{
    static const char text[] =
        "{\"other\":[{\"value\":\"x\"}],\"events\":["
        "{\"key\":\"a\",\"value\":\"eHg/\",\"revision\":7,\"lease\":3},"
        "{\"revision\":8, \"value\" : \"eHg\\/\",\"key\":\"b\"},"
        "{\"key\":\"c\",\"value\":\"\",\"revision\":9},"
        "{\"key\":\"d\\u0041\",\"tombstone\":true,\"revision\":10.0}"
        "],\"store_revision\":11}";
    static const struct {
        const char *key;
        const char *value;
        uint64_t revision;
    } expected[] = {
        {"a", "xx?", 7}, {"b", "xx?", 8}, {"c", "", 9}, {"dA", NULL, 10}};
    struct store_items *items = platform_store_decode_items(
        (const uint8_t *)text, strlen(text), "events", NULL);

    g_assert_nonnull(items);
    g_assert_cmpuint(items->revision, ==, 11);
    g_assert_cmpuint(items->list->len, ==, G_N_ELEMENTS(expected));
    for (guint i = 0; i < items->list->len; i++) {
        const struct store_item *item = g_ptr_array_index(items->list, i);

        g_assert_cmpstr(item->key, ==, expected[i].key);
        g_assert_cmpstr((const char *)item->bytes, ==, expected[i].value);
        g_assert_cmpuint(item->revision, ==, expected[i].revision);
    }
    store_items_destroy(items);
    feed_text(text, parse_store_response);
}

/* Patches of the configuration. A result that is accepted has the digest of
   the patch, which a change hardly ever meets. */

static const char patch_former[] =
    "{\"version\":1,\"routes\":[{\"host\":\"h\",\"prefix\":\"/\"},"
    "{\"host\":\"h\",\"prefix\":\"/b/\"},{\"host\":\"i\",\"prefix\":\"/\"}]}";

static void
parse_patch(const GByteArray *input)
{
    GBytes *former = g_bytes_new_static(patch_former, strlen(patch_former));
    GBytes *result = byte_patch_apply(former, input->data, input->len);

    if (result != NULL) {
        g_assert_cmpuint(g_bytes_get_size(result), <=, BYTE_PATCH_MAX_BYTES);
        g_bytes_unref(result);
    }
    g_bytes_unref(former);
}

static void
test_patches(void)
{
    static const char text[] =
        "{\"version\":2,\"routes\":[{\"host\":\"i\",\"prefix\":\"/c/\"},"
        "{\"host\":\"h\",\"prefix\":\"/\"},{\"host\":\"h\",\"prefix\":\"/b/"
        "\"},"
        "{\"host\":\"i\",\"prefix\":\"/\"}]}";
    GBytes *former = g_bytes_new_static(patch_former, strlen(patch_former));
    GBytes *result = g_bytes_new_static(text, strlen(text));
    GByteArray *patch = byte_patch_create(former, result);
    GBytes *applied = byte_patch_apply(former, patch->data, patch->len);

    g_assert_true(g_bytes_equal(applied, result));
    feed(patch->data, patch->len, parse_patch);
    g_bytes_unref(applied);
    g_byte_array_unref(patch);
    g_bytes_unref(result);
    g_bytes_unref(former);
}

/* What the platform stores. */

static const char config_sample[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
    "\"prefix\":\"/\",\"kind\":\"streaming\",\"resumable\":true,"
    "\"timeout_ms\":100,\"traffic_split\":[{\"service\":\"s\","
    "\"weight\":0.5}]}],\"services\":[{\"name\":\"s\","
    "\"max_conns\":4,\"engine\":{\"slots\":2,\"step_ms\":1.5,"
    "\"read_per_s\":1e5,\"usual\":{\"answer\":3}}}],"
    "\"limits\":{\"max_header_bytes\":99},"
    "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]}]}";

static struct catalog *
read_config(struct config_reader *reader, const void *bytes, size_t count)
{
    const char *why = NULL;
    GBytes *copy = g_bytes_new(bytes, count);
    struct catalog *catalog = config_reader_decode(reader, copy, &why);

    if (catalog == NULL) {
        g_assert_nonnull(why);
    }
    g_bytes_unref(copy);
    return catalog;
}

/* The input is read alone and after the sample, with the same result. */
static void
parse_platform_config(const GByteArray *input)
{
    struct config_reader *alone = config_reader_create();
    struct config_reader *reader = config_reader_create();
    struct catalog *first = read_config(alone, input->data, input->len);
    struct catalog *second;

    catalog_unref(read_config(reader, config_sample, strlen(config_sample)));
    second = read_config(reader, input->data, input->len);
    g_assert_true((first == NULL) == (second == NULL));
    catalog_unref(first);
    catalog_unref(second);
    config_reader_destroy(alone);
    config_reader_destroy(reader);
}

static void
test_platform_config(void)
{
    feed_text(config_sample, parse_platform_config);
}

static const char sound_entry[] =
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
    "\"version\":\"v1\",\"slots\":4,\"state\":\"draining\","
    "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":7}";

static const char *
apply_entry(struct endpoints *endpoints, const char *key, const void *bytes,
            size_t count, bool *changed)
{
    struct store_items *items = store_items_create();
    const char *why;

    store_items_add(items, key, bytes, count, 1);
    why = platform_endpoint_apply(
        endpoints, NULL, g_ptr_array_index(items->list, 0), false, 0, changed);
    store_items_destroy(items);
    return why;
}

/* The input comes after a sound entry, which holds if the input is refused. */
static void
parse_registration(const GByteArray *input)
{
    struct endpoints *endpoints = endpoints_create();
    const struct endpoint *endpoint;
    bool changed;
    bool refused;

    g_assert_null(apply_entry(endpoints, "servers/a", sound_entry,
                              strlen(sound_entry), &changed));
    refused = apply_entry(endpoints, "servers/a", input->data, input->len,
                          &changed) != NULL;
    endpoint = endpoints_find(endpoints, "a");
    g_assert_nonnull(endpoint);
    g_assert_cmpuint(endpoint->port, >, 0);
    g_assert_cmpuint(endpoint->slots, >, 0);
    if (refused) {
        g_assert_false(changed);
        g_assert_true(endpoint->draining);
        g_assert_cmpstr(endpoint->ip, ==, "10.0.0.1");
        g_assert_cmpuint(endpoint->born_ms, ==, 7);
    }
    endpoints_destroy(endpoints);
}

static void
test_registrations(void)
{
    feed_text(sound_entry, parse_registration);
}

/* A list with the text of an item between two others, which must be read. */
static void
check_list(const char *key, const char *value)
{
    char *text = g_strdup_printf(
        "{\"items\":[{\"key\":\"a\",\"value\":\"eHg/\",\"revision\":1},"
        "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":2},"
        "{\"key\":\"z\",\"value\":\"eHg/\",\"revision\":3}],"
        "\"store_revision\":4}",
        key, value);
    struct store_items *items = platform_store_decode_items(
        (const uint8_t *)text, strlen(text), "items", NULL);
    const struct store_item *first;
    const struct store_item *last;

    g_assert_nonnull(items);
    first = g_ptr_array_index(items->list, 0);
    last = g_ptr_array_index(items->list, items->list->len - 1);
    g_assert_cmpstr(first->key, ==, "a");
    g_assert_cmpstr(last->key, ==, "z");
    g_assert_cmpstr((const char *)last->bytes, ==, "xx?");
    store_items_destroy(items);
    g_free(text);
}

/* The input is a writer's value, and its key, which the store writes between
   quotes. */
static void
parse_item_of_list(const GByteArray *input)
{
    char *value = g_base64_encode(input->data, input->len);
    char *key = g_strndup((const char *)input->data, input->len);

    check_list("servers/w", value);
    check_list(g_strdelimit(key, "\"\\", '.'), "eHg/");
    check_list("servers/w", key);
    g_free(key);
    g_free(value);
}

static void
test_items_of_lists(void)
{
    feed_text(sound_entry, parse_item_of_list);
}

/* The operators' tables, and what the entries' platform stores. */

static void
parse_tables(const GByteArray *input)
{
    GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
    char *text = g_strndup((const char *)input->data, input->len);
    struct config *config =
        config_create_from_tables(1, text, "r", text, "p", errors);
    struct tables *tables = tables_create(text, text);
    char *rewritten = tables_text(tables, TABLE_ROUTES);

    g_assert_true((config == NULL) == (errors->len > 0));
    g_free(rewritten);
    tables_destroy(tables);
    config_destroy(config);
    g_free(text);
    g_ptr_array_free(errors, TRUE);
}

static void
test_tables(void)
{
    feed_text("# generation 3\n[assist]\npaths = /v1/*; /x\nmodel = m\n"
              "pool = p\nclass = prompt\ntime_limit = 1.5 s\n"
              "[p]\nendpoints = a-*\nmemory_tokens = 1000\n",
              parse_tables);
}

static void
parse_head(const GByteArray *input)
{
    GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);

    config_destroy(
        config_create((const char *)input->data, input->len, errors));
    config_head_destroy(
        config_head_decode((const char *)input->data, input->len));
    g_ptr_array_free(errors, TRUE);
}

static void
test_head(void)
{
    feed_text("{\"generation\":3,\"id\":\"a\",\"author\":\"b\",\"time\":\"c\","
              "\"routes\":\"[r]\\npaths = /x\\nclass = plain\\npool = p\\n\","
              "\"pools\":\"[p]\\nclass = plain\\nendpoints = a\\n\","
              "\"changes\":[{\"generation\":2,\"id\":\"x\",\"author\":\"y\","
              "\"time\":\"z\"}]}",
              parse_head);
}

static void
parse_claim(const GByteArray *input)
{
    struct claim claim;

    claim_decode((const char *)input->data, input->len, &claim);
}

static void
test_claims(void)
{
    struct claim claim = {.id = {.incarnation = 1, .counter = 2}};
    char *text = claim_encode(&claim);

    feed_text(text, parse_claim);
    free(text);
}

static void
parse_prompt(const GByteArray *input)
{
    struct prompt prompt;
    const char *why = NULL;

    if (prompt_parse(input->data, input->len, &prompt, &why)) {
        prompt_clear(&prompt);
    }
    else {
        g_assert_nonnull(why);
    }
}

static void
test_prompts(void)
{
    feed_text("{\"model\":\"m\",\"prompt\":\"some text\",\"stream\":true,"
              "\"max_tokens\":5}",
              parse_prompt);
    feed_text("{\"model\":\"m\",\"messages\":[{\"role\":\"user\","
              "\"content\":\"text\"}]}",
              parse_prompt);
    feed_text("{\"model\":\"m\",\"prompt\":[1,2,3]}", parse_prompt);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    signal(SIGSEGV, print_input);
    signal(SIGABRT, print_input);
    g_test_add_func("/mutations/requests", test_requests);
    g_test_add_func("/mutations/responses", test_responses);
    g_test_add_func("/mutations/events", test_events);
    g_test_add_func("/mutations/store-items", test_store_items);
    g_test_add_func("/mutations/peer-load", test_peer_load);
    g_test_add_func("/mutations/crash-reports", test_crash_reports);
    g_test_add_func("/mutations/frames", test_frames);
    g_test_add_func("/mutations/store-responses", test_store_responses);
    g_test_add_func("/mutations/patches", test_patches);
    g_test_add_func("/mutations/platform-config", test_platform_config);
    g_test_add_func("/mutations/registrations", test_registrations);
    g_test_add_func("/mutations/items-of-lists", test_items_of_lists);
    g_test_add_func("/mutations/tables", test_tables);
    g_test_add_func("/mutations/head", test_head);
    g_test_add_func("/mutations/claims", test_claims);
    g_test_add_func("/mutations/prompts", test_prompts);
    return g_test_run();
}
