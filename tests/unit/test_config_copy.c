/* Tests how the operators' configuration passes between gateways: as patches,
   in parts, whole where a patch can't be used, and decoded on another
   thread. */

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "core/byte_patch.h"
#include "core/catalog.h"
#include "core/endpoints.h"
#include "core/message.h"
#include "gateway/config_copy.h"
#include "gateway/directory.h"
#include "gateway/peer_changes.h"
#include "io/link.h"
#include "io/loop.h"
#include "io/store_items.h"

enum {
    FIRST_REVISION = 100,
    ROUTES = 300,
    LARGE_ROUTES = 40000,    /* 4.0 MB */
    MIN_WHOLE_BYTES = 15000, /* of that many routes */
    MAX_PATCH_BYTES = 400,
    MAX_CHAIN_BYTES = 4000,
    BATCH = 25,
    PART_BYTES = 9,
    /* Of loop_clock_ms() in virtual time. */
    START_MS = 1000,
};

struct gateway {
    struct endpoints *endpoints;
    struct directory *directory;
    struct loop *loop; /* stopped when a configuration is decoded, or NULL */
    uint32_t catalog_changes;
};

static void
on_catalog(void *data, struct catalog *catalog)
{
    (void)catalog;
    ((struct gateway *)data)->catalog_changes++;
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

static void
on_settled(void *data)
{
    const struct gateway *gateway = data;

    if (gateway->loop != NULL) {
        loop_stop(gateway->loop);
    }
}

static struct gateway *
create_gateway(struct loop *loop)
{
    static const struct directory_handlers handlers = {
        on_catalog, on_gateways, on_crash_item, NULL, on_settled};
    struct gateway *gateway = g_new0(struct gateway, 1);

    gateway->loop = loop;
    gateway->endpoints = endpoints_create();
    gateway->directory = directory_create(
        gateway->endpoints, &(struct config_copy_settings){.loop = loop},
        &handlers, gateway);
    return gateway;
}

static void
destroy_gateway(struct gateway *gateway)
{
    directory_destroy(gateway->directory);
    endpoints_destroy(gateway->endpoints);
    g_free(gateway);
}

static uint64_t
version_of(const struct gateway *gateway)
{
    const struct catalog *catalog = directory_catalog(gateway->directory);

    return catalog != NULL ? catalog_version(catalog) : 0;
}

/* Versions differ in one route. */
static GString *
make_config(uint64_t version, int routes)
{
    GString *out = g_string_new(NULL);

    g_string_append_printf(
        out, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[", version);
    for (int i = 0; i < routes; i++) {
        g_string_append_printf(
            out,
            "%s{\"name\":\"route-%d\",\"host\":\"host-%d.example\","
            "\"prefix\":\"/%d/\",\"service\":\"s\",\"timeout_ms\":%d}",
            i > 0 ? "," : "", i, i % 10, i,
            (uint64_t)i == version ? 2000 : 1000);
    }
    g_string_append(out, "]}");
    return out;
}

static void
add_version(struct store_items *items, uint64_t version, int routes)
{
    GString *config = make_config(version, routes);

    items->revision = FIRST_REVISION + version;
    store_items_add(items, "op/config", (const uint8_t *)config->str,
                    config->len, items->revision);
    g_string_free(config, TRUE);
}

/* The store reports the versions in one response. */
static void
apply_versions(struct gateway *gateway, uint64_t from, uint64_t to, int routes)
{
    struct store_items *items = store_items_create();

    for (uint64_t version = from; version <= to; version++) {
        add_version(items, version, routes);
    }
    directory_apply(gateway->directory, items, false, START_MS, "peer",
                    START_MS);
    store_items_destroy(items);
}

/* As apply_versions(), with version 1, but one route has another name of the
   same length. */
static void
apply_other_first(struct gateway *gateway)
{
    struct store_items *items = store_items_create();
    struct store_item *item;

    add_version(items, 1, ROUTES);
    item = g_ptr_array_index(items->list, 0);
    *strstr((char *)item->bytes, "route-150") = 'R';
    directory_apply(gateway->directory, items, false, START_MS, "peer",
                    START_MS);
    store_items_destroy(items);
}

/* One gateway asks the other one for what it lacks. Returns the bytes sent. */
static size_t
pass(struct gateway *to, const struct gateway *from)
{
    struct store_items *items = directory_items_since(
        from->directory, directory_ask_revision(to->directory),
        directory_config_base(to->directory));
    bool full = directory_ask_revision(to->directory) == 0;
    GByteArray *wire = g_byte_array_new();
    struct store_items *received;
    size_t count;

    store_items_encode(items, wire);
    received = store_items_decode(wire->data, wire->len);
    received->revision = items->revision;
    directory_apply(to->directory, received, full, START_MS, "peer", START_MS);
    count = wire->len;
    g_byte_array_unref(wire);
    store_items_destroy(received);
    store_items_destroy(items);
    return count;
}

/* Guards against sending the whole item for a small change, also to a gateway
   that missed several versions or was suspended. */
static void
test_patches_are_sent(void)
{
    struct gateway *first = create_gateway(NULL);
    struct gateway *second = create_gateway(NULL);
    struct gateway *third = create_gateway(NULL);

    apply_versions(first, 1, 1, ROUTES);
    g_assert_cmpuint(pass(second, first), >, MIN_WHOLE_BYTES);
    for (uint64_t version = 2; version < 12; version++) {
        apply_versions(first, version, version, ROUTES);
        if (version != 4 && version != 5) {
            g_assert_cmpuint(pass(second, first), <, MAX_PATCH_BYTES);
            g_assert_cmpuint(version_of(second), ==, version);
        }
    }
    /* Patches that were received are sent on. */
    apply_versions(third, 3, 3, ROUTES);
    g_assert_cmpuint(pass(third, second), <, MAX_CHAIN_BYTES);
    g_assert_cmpuint(version_of(third), ==, 11);
    g_assert_cmpuint(third->catalog_changes, ==, 2);
    destroy_gateway(first);
    destroy_gateway(second);
    destroy_gateway(third);
}

/* Guards against a gateway that is left without the configuration, or believes
   that it has the newest one, when a patch can't be used. */
static void
test_unusable_patch(void)
{
    struct gateway *first = create_gateway(NULL);
    struct gateway *second = create_gateway(NULL);

    apply_versions(first, 1, 1, ROUTES);
    apply_versions(first, 2, 2, ROUTES);
    apply_other_first(second);
    pass(second, first);
    g_assert_true(directory_lacks_config(second->directory));
    g_assert_false(directory_may_send(second->directory));
    g_assert_cmpuint(version_of(second), ==, 1);
    g_assert_false(directory_confirm(second->directory, FIRST_REVISION + 2,
                                     START_MS + 100, "peer", START_MS + 100));
    g_assert_cmpuint(
        directory_config_age_ms(second->directory, START_MS + 300), ==, 300);
    g_assert_cmpuint(pass(second, first), >, MIN_WHOLE_BYTES);
    g_assert_cmpuint(version_of(second), ==, 2);
    g_assert_false(directory_lacks_config(second->directory));
    /* Another gateway that is behind changes nothing. */
    pass(first, second);
    apply_versions(first, 1, 1, ROUTES);
    g_assert_cmpuint(version_of(first), ==, 2);
    destroy_gateway(first);
    destroy_gateway(second);
}

/* Guards against decoding versions that are superseded in the same batch, and
   against losing a valid one that an invalid one follows. */
static void
test_batches(void)
{
    struct gateway *gateway = create_gateway(NULL);
    struct store_items *items = store_items_create();
    static const char invalid[] = "{\"version\":99,";

    apply_versions(gateway, 1, BATCH, ROUTES);
    g_assert_cmpuint(version_of(gateway), ==, BATCH);
    g_assert_cmpuint(gateway->catalog_changes, ==, 1);
    add_version(items, BATCH + 1, ROUTES);
    items->revision++;
    store_items_add(items, "op/config", (const uint8_t *)invalid,
                    strlen(invalid), items->revision);
    directory_apply(gateway->directory, items, false, START_MS, "peer",
                    START_MS);
    g_assert_cmpuint(version_of(gateway), ==, BATCH + 1);
    g_assert_cmpuint(gateway->catalog_changes, ==, 2);
    store_items_destroy(items);
    apply_versions(gateway, BATCH + 3, BATCH + 3, ROUTES);
    g_assert_cmpuint(version_of(gateway), ==, BATCH + 3);
    destroy_gateway(gateway);
}

/* Guards against taking the configuration in force for the newest one while
   that one is decoded on the other thread, and against sending the copy on
   without it. */
static void
test_decoded_on_thread(void)
{
    /* Static, since its thread runs until the process ends. */
    static struct gateway *gateway;
    struct loop *loop = loop_create();

    gateway = create_gateway(loop);
    apply_versions(gateway, 1, 1, ROUTES);
    g_assert_cmpuint(version_of(gateway), ==, 0);
    g_assert_false(directory_may_send(gateway->directory));
    g_assert_cmpuint(directory_age_ms(gateway->directory, START_MS), ==, 0);
    g_assert_cmpuint(directory_config_age_ms(gateway->directory, START_MS), ==,
                     UINT64_MAX);
    /* Arrives meanwhile, twice. */
    apply_versions(gateway, 2, 2, ROUTES);
    apply_versions(gateway, 3, 3, ROUTES);
    loop_run(loop);
    g_assert_cmpuint(version_of(gateway), ==, 1);
    g_assert_false(directory_may_send(gateway->directory));
    g_assert_cmpuint(
        directory_config_age_ms(gateway->directory, START_MS + 50), ==, 50);
    loop_run(loop);
    g_assert_cmpuint(version_of(gateway), ==, 3);
    g_assert_true(directory_may_send(gateway->directory));
    g_assert_cmpuint(gateway->catalog_changes, ==, 2);
    g_assert_cmpuint(directory_config_age_ms(gateway->directory, START_MS), ==,
                     0);
}

/* Replies in parts. */

static struct message
make_part(uint64_t stamp_ms, const GByteArray *wire, uint32_t number)
{
    size_t offset = (size_t)number * PART_BYTES;

    return (struct message){.type = MESSAGE_CHANGES,
                            .stamp_ms = stamp_ms,
                            .revision = 7,
                            .offset = offset,
                            .body_bytes = wire->len,
                            .data = wire->data + offset,
                            .data_bytes = MIN(PART_BYTES, wire->len - offset)};
}

/* Guards against joining parts of two replies when a sender dies halfway or a
   part is lost. */
static void
test_parts(void)
{
    static const struct {
        uint64_t stamps[8]; /* of the parts; 0: the end */
        uint32_t numbers[8];
        bool complete;
    } cases[] = {
        {{1, 1, 1}, {0, 1, 2}, true},
        {{1, 1}, {0, 1}, false},
        {{1, 1}, {0, 2}, false},
        {{1, 1, 1}, {0, 1, 1}, false},
        {{1, 1, 2, 1}, {0, 1, 0, 2}, false},
        {{1, 1, 2, 2, 2}, {0, 1, 0, 1, 2}, true},
        {{1, 2, 2}, {0, 1, 2}, false},
        {{1, 1, 1}, {0, 0, 1}, false},
    };
    struct store_items *items = store_items_create();
    GByteArray *wire = g_byte_array_new();

    store_items_add(items, "a key", (const uint8_t *)"0123456789", 10, 5);
    store_items_encode(items, wire);
    g_assert_cmpuint((wire->len + PART_BYTES - 1) / PART_BYTES, ==, 3);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct peer_changes *changes = peer_changes_create();
        struct store_items *received = NULL;

        for (size_t j = 0; cases[i].stamps[j] != 0; j++) {
            struct message part =
                make_part(cases[i].stamps[j], wire, cases[i].numbers[j]);
            bool malformed;

            g_assert_null(received);
            received = peer_changes_take(changes, &part, &malformed);
            g_assert_false(malformed);
        }
        g_assert_true((received != NULL) == cases[i].complete);
        g_assert_true(received == NULL || received->revision == 7);
        store_items_destroy(received);
        peer_changes_destroy(changes);
    }
    g_byte_array_unref(wire);
    store_items_destroy(items);
}

/* Over a link, to gateways of this build and of earlier ones. */

struct session {
    struct loop *loop;
    struct gateway *sender;
    struct gateway *receiver;
    struct peer_changes *changes;
    uint64_t features; /* of the sender, as the receiver takes them */
    uint32_t snapshots;
    uint32_t parts;
    uint32_t downs;
};

static void
on_link_up(void *data, struct link *link, const struct message *hello)
{
    (void)data;
    (void)link;
    (void)hello;
}

static void
on_link_down(void *data, struct link *link, const char *why)
{
    struct session *session = data;

    (void)why;
    session->downs++;
    link_destroy(link);
}

static void
on_request(void *data, struct link *link, const struct message *message)
{
    struct session *session = data;

    peer_changes_reply(link, session->sender->directory, message);
    if (message->type == MESSAGE_SNAPSHOT_ASK) {
        loop_stop(session->loop);
    }
}

static void
on_receiver_up(void *data, struct link *link, const struct message *hello)
{
    struct session *session = data;

    (void)hello;
    peer_changes_ask(link, session->receiver->directory, session->features);
}

static void
on_reply(void *data, struct link *link, const struct message *message)
{
    struct session *session = data;
    bool malformed;
    struct store_items *items =
        peer_changes_take(session->changes, message, &malformed);

    (void)link;
    session->snapshots += message->type == MESSAGE_SNAPSHOT ? 1 : 0;
    session->parts += message->type == MESSAGE_CHANGES ? 1 : 0;
    g_assert_false(malformed);
    if (items != NULL) {
        directory_apply(session->receiver->directory, items,
                        message->since == 0, START_MS, "peer", START_MS);
        store_items_destroy(items);
        loop_stop(session->loop);
    }
}

static const struct link_identity identity = {
    .instance = "g", .data_centre = "z", .incarnation = 1};

static void
on_connection(void *data, int fd, uint32_t events)
{
    static const struct link_handlers handlers = {on_link_up, on_request,
                                                  on_link_down};
    struct session *session = data;
    int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    (void)events;
    g_assert_cmpint(accepted, >=, 0);
    link_accept(session->loop, accepted, &identity, &handlers, session);
}

static struct link *
connect_session(struct session *session)
{
    static const struct link_handlers handlers = {on_receiver_up, on_reply,
                                                  on_link_down};
    struct sockaddr_in address = {0};
    socklen_t length = sizeof(address);
    int fd = link_listen("127.0.0.1", 0);

    g_assert_cmpint(fd, >=, 0);
    getsockname(fd, (struct sockaddr *)&address, &length);
    loop_watch(session->loop, fd, EPOLLIN, on_connection, session);
    return link_connect(session->loop, "127.0.0.1", ntohs(address.sin_port),
                        &identity, &handlers, session);
}

/* Guards against frames that a receiver refuses, which end the link: an item
   of 4 MB goes out in parts, and not at all to a gateway of an earlier build,
   which gets shorter ones whole, without patches. */
static void
test_replies_over_a_link(void)
{
    /* Static, since its links stay open. */
    static struct session session;
    static struct link *link;

    session = (struct session){.loop = loop_create(),
                               .sender = create_gateway(NULL),
                               .receiver = create_gateway(NULL),
                               .changes = peer_changes_create()};
    apply_versions(session.sender, 1, 1, ROUTES);
    link = connect_session(&session);
    loop_run(session.loop);
    loop_run(session.loop);
    g_assert_cmpuint(version_of(session.receiver), ==, 1);
    g_assert_cmpuint(session.snapshots, ==, 1);
    apply_versions(session.sender, 2, 2, LARGE_ROUTES);
    peer_changes_ask(link, session.receiver->directory, 0);
    loop_run(session.loop);
    peer_changes_ask(link, session.receiver->directory, MESSAGE_PEER_CHANGES);
    loop_run(session.loop);
    g_assert_cmpuint(version_of(session.receiver), ==, 2);
    g_assert_cmpuint(session.snapshots, ==, 1);
    g_assert_cmpuint(session.parts, >, 50);
    apply_versions(session.sender, 3, 3, LARGE_ROUTES);
    peer_changes_ask(link, session.receiver->directory, MESSAGE_PEER_CHANGES);
    session.parts = 0;
    loop_run(session.loop);
    g_assert_cmpuint(version_of(session.receiver), ==, 3);
    g_assert_cmpuint(session.parts, ==, 1);
    g_assert_cmpuint(session.downs, ==, 0);
    destroy_gateway(session.sender);
    destroy_gateway(session.receiver);
    peer_changes_destroy(session.changes);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config-copy/patches", test_patches_are_sent);
    g_test_add_func("/config-copy/unusable-patch", test_unusable_patch);
    g_test_add_func("/config-copy/batches", test_batches);
    g_test_add_func("/config-copy/thread", test_decoded_on_thread);
    g_test_add_func("/config-copy/parts", test_parts);
    g_test_add_func("/config-copy/link", test_replies_over_a_link);
    return g_test_run();
}
