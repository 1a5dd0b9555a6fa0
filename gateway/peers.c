#include "gateway/peers.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/endpoints.h"
#include "core/followers.h"
#include "core/ini.h"
#include "core/message.h"
#include "core/peer_load.h"
#include "gateway/directory.h"
#include "io/link.h"
#include "io/log.h"
#include "io/loop.h"
#include "io/store_items.h"

#define LOG_PART "peers"

enum {
    /* Up to so many the load is told as often as the settings say. */
    FULL_RATE_GATEWAYS = 8,
    /* How often the others are asked, and told the load if it has not
       changed: a few times in the life of what they say. */
    HEARTBEAT_MS = 500,
    /* A peer that has said nothing for so long is not counted any more. */
    PEER_TIMEOUT_MS = 1600,
    /* While the store answers, own knowledge is left to it up to this age; its
       answers come every second, and are a second old then. */
    STORE_FRESH_MS = 2500,
    /* Between two questions for a snapshot, whoever they go to. */
    SNAPSHOT_INTERVAL_MS = 300,
};

/* A link of our own to another gateway. */
struct peer {
    struct peers *peers;
    char *address; /* "ip:port" */
    struct link *link;
    uint64_t received_ms;
    bool listed;
    bool is_source; /* for news of the store, often */
};

/* Another gateway's link to us. */
struct inbound {
    struct peers *peers;
    struct link *link;
    char *instance;
    uint64_t received_ms;
};

struct peers {
    struct loop *loop;
    const struct link_identity *identity;
    struct directory *directory;
    struct endpoints *endpoints;
    char *own_address;
    char **seeds;
    uint32_t min_load_interval_ms;
    GHashTable *by_address; /* struct peer, owned */
    GPtrArray *inbounds;    /* struct inbound */
    struct loop_timer *heartbeat_timer;
    struct loop_timer *load_timer;
    struct loop_timer *list_timer;
    bool load_pending;
    uint64_t load_sent_ms;
    uint64_t snapshot_asked_ms; /* when a snapshot was asked for last */
    uint32_t gateway_count;
    uint32_t follower_rank; /* among those that may follow the store */
    uint64_t confirmed_ms;  /* the newest that others have told is of then */
    uint64_t heartbeats;
};

static void
send_load(struct peers *peers, uint64_t now_ms)
{
    GByteArray *data = g_byte_array_new();
    struct message message = {.type = MESSAGE_PEER_LOAD};
    GHashTableIter iter;
    gpointer value;

    peers->load_pending = false;
    peers->load_sent_ms = now_ms;
    peer_load_encode(peers->endpoints, now_ms, data);
    message.data = data->data;
    message.data_bytes = data->len;
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct peer *peer = value;

        if (peer->link != NULL && link_is_up(peer->link)) {
            link_send(peer->link, &message);
        }
    }
    g_byte_array_unref(data);
}

static void
on_load_timer(void *data, uint64_t now_ms)
{
    send_load(data, now_ms);
}

/* How many times more gateways there are than a few. */
static uint64_t
interval_factor(const struct peers *peers)
{
    return (peers->gateway_count + FULL_RATE_GATEWAYS - 1) /
           FULL_RATE_GATEWAYS;
}

/* What a gateway receives grows with the number of the others, and so does
   what it sends: both stay as they are with a few. */
static uint64_t
load_interval_ms(const struct peers *peers)
{
    return peers->min_load_interval_ms * interval_factor(peers) *
           interval_factor(peers);
}

void
peers_load_changed(struct peers *peers)
{
    if (!peers->load_pending) {
        peers->load_pending = true;
        loop_timer_arm(peers->load_timer,
                       MAX(peers->load_sent_ms + load_interval_ms(peers),
                           loop_now_ms(peers->loop) + 1));
    }
}

/* Our own links. */

static void
ask_state(struct peer *peer)
{
    struct message message = {.type = MESSAGE_PEER_ASK,
                              .stamp_ms = loop_boot_ms()};

    link_send(peer->link, &message);
}

static void
on_peer_up(void *data, struct link *link, const struct message *hello)
{
    struct peer *peer = data;

    (void)link;
    LOG_INFO("link up", "peer=%s address=%s", hello->instance, peer->address);
    peer->received_ms = loop_now_ms(peer->peers->loop);
    ask_state(peer);
    peers_load_changed(peer->peers);
}

/* A peer's knowledge counts from when it was asked, so that the time on the
   way, or in a suspended process's buffers, makes it older and never newer. */
static uint64_t
message_confirmed_ms(const struct message *message)
{
    return message->stamp_ms - MIN(message->age_ms, message->stamp_ms);
}

static void
on_state(struct peer *peer, const struct message *message)
{
    struct peers *peers = peer->peers;
    uint64_t now_ms = loop_now_ms(peers->loop);
    struct message request = {.type = MESSAGE_SNAPSHOT_ASK,
                              .since = directory_revision(peers->directory)};

    if (message->age_ms == UINT64_MAX) {
        return;
    }
    if (directory_prove(peers->directory, message->revision,
                        message_confirmed_ms(message), loop_boot_ms())) {
        peers->confirmed_ms =
            MAX(peers->confirmed_ms, message_confirmed_ms(message));
        return;
    }
    if (directory_is_followed(peers->directory, loop_boot_ms(),
                              STORE_FRESH_MS) ||
        now_ms < peers->snapshot_asked_ms + SNAPSHOT_INTERVAL_MS) {
        return;
    }
    peers->snapshot_asked_ms = now_ms;
    request.stamp_ms = loop_boot_ms();
    link_send(peer->link, &request);
}

static void
on_snapshot(struct peer *peer, const struct message *message)
{
    struct store_items *items =
        store_items_decode(message->data, message->data_bytes);
    struct directory *directory = peer->peers->directory;

    if (items == NULL) {
        LOG_WARN("a peer's snapshot can't be read", "address=%s",
                 peer->address);
        return;
    }
    items->revision = message->revision;
    LOG_INFO("knowledge of the store taken from a peer",
             "address=%s since=%" G_GUINT64_FORMAT
             " revision=%" G_GUINT64_FORMAT " age_ms=%" G_GUINT64_FORMAT,
             peer->address, message->since, message->revision,
             message->age_ms);
    directory_take(directory, items, message->since == 0,
                   message_confirmed_ms(message), loop_boot_ms());
    peer->peers->confirmed_ms =
        MAX(peer->peers->confirmed_ms, message_confirmed_ms(message));
    store_items_destroy(items);
}

static void
on_peer_message(void *data, struct link *link, const struct message *message)
{
    struct peer *peer = data;

    (void)link;
    peer->received_ms = loop_now_ms(peer->peers->loop);
    if (message->type == MESSAGE_PEER_STATE) {
        on_state(peer, message);
    }
    else if (message->type == MESSAGE_SNAPSHOT) {
        on_snapshot(peer, message);
    }
}

static void
on_peer_down(void *data, struct link *link, const char *why)
{
    struct peer *peer = data;

    LOG_INFO("link down", "address=%s why=\"%s\"", peer->address, why);
    link_destroy(link);
    peer->link = NULL;
}

static const struct link_handlers peer_handlers = {on_peer_up, on_peer_message,
                                                   on_peer_down};

static void
connect_peer(struct peer *peer)
{
    struct ini_address address;

    if (!ini_parse_address(peer->address, &address)) {
        LOG_WARN("a gateway's address can't be read", "address=%s",
                 peer->address);
        return;
    }
    peer->received_ms = loop_now_ms(peer->peers->loop);
    peer->link = link_connect(peer->peers->loop, address.ip, address.port,
                              peer->peers->identity, &peer_handlers, peer);
    g_free(address.ip);
}

static void
free_peer(gpointer data)
{
    struct peer *peer = data;

    link_destroy(peer->link);
    g_free(peer->address);
    g_free(peer);
}

static void
add_peer(struct peers *peers, const char *address)
{
    struct peer *peer = g_hash_table_lookup(peers->by_address, address);

    if (strcmp(address, peers->own_address) == 0) {
        return;
    }
    if (peer == NULL) {
        peer = g_new0(struct peer, 1);
        peer->peers = peers;
        peer->address = g_strdup(address);
        g_hash_table_insert(peers->by_address, peer->address, peer);
        connect_peer(peer);
    }
    peer->listed = true;
}

static gboolean
is_unlisted(gpointer key, gpointer value, gpointer data)
{
    const struct peer *peer = value;

    (void)key;
    (void)data;
    if (peer->listed) {
        return FALSE;
    }
    if (peer->link != NULL) {
        LOG_INFO("link down", "address=%s why=\"left the list\"",
                 peer->address);
    }
    return TRUE;
}

static void
update_followers(struct peers *peers, const GPtrArray *addresses)
{
    const char *const *list = (const char *const *)addresses->pdata;
    GPtrArray *asked =
        followers_asked(peers->own_address, list, addresses->len);
    GHashTableIter iter;
    gpointer value;

    peers->follower_rank =
        followers_rank(peers->own_address, list, addresses->len);
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct peer *peer = value;

        /* Seeds are asked while no list is known. */
        peer->is_source = addresses->len == 0 ||
                          g_ptr_array_find_with_equal_func(
                              asked, peer->address, g_str_equal, NULL);
    }
    g_ptr_array_free(asked, TRUE);
}

uint32_t
peers_follower_rank(const struct peers *peers)
{
    return peers->follower_rank;
}

bool
peers_must_follow_store(const struct peers *peers, uint64_t now_ms)
{
    return followers_needed(peers->follower_rank, peers->gateway_count,
                            peers->confirmed_ms == 0
                                ? UINT64_MAX
                                : now_ms - MIN(peers->confirmed_ms, now_ms));
}

/* Not from within a link's handler, since it ends links. */
static void
on_list_timer(void *data, uint64_t now_ms)
{
    struct peers *peers = data;
    GPtrArray *addresses = directory_gateway_addresses(peers->directory);
    GHashTableIter iter;
    gpointer value;

    (void)now_ms;
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct peer *)value)->listed = false;
    }
    for (guint i = 0; i < addresses->len; i++) {
        add_peer(peers, g_ptr_array_index(addresses, i));
    }
    /* Seeds are of use only until the list is known. */
    for (size_t i = 0; addresses->len == 0 && peers->seeds[i] != NULL; i++) {
        add_peer(peers, peers->seeds[i]);
    }
    g_hash_table_foreach_remove(peers->by_address, is_unlisted, NULL);
    peers->gateway_count = g_hash_table_size(peers->by_address) + 1;
    update_followers(peers, addresses);
    g_ptr_array_free(addresses, TRUE);
}

void
peers_list_changed(struct peers *peers)
{
    loop_timer_arm(peers->list_timer, loop_now_ms(peers->loop));
}

uint32_t
peers_count(const struct peers *peers)
{
    return peers->gateway_count;
}

/* The others' links. */

static void
send_state(struct inbound *inbound, const struct message *request)
{
    struct directory *directory = inbound->peers->directory;
    struct message message = {.type = MESSAGE_PEER_STATE,
                              .stamp_ms = request->stamp_ms,
                              .revision = directory_revision(directory),
                              .age_ms =
                                  directory_age_ms(directory, loop_boot_ms())};

    link_send(inbound->link, &message);
}

static void
send_snapshot(struct inbound *inbound, const struct message *request)
{
    struct directory *directory = inbound->peers->directory;
    struct store_items *items = directory_items(directory, request->since);
    GByteArray *data = g_byte_array_new();
    struct message message = {.type = MESSAGE_SNAPSHOT,
                              .stamp_ms = request->stamp_ms,
                              .revision = items->revision,
                              .since = request->since,
                              .age_ms =
                                  directory_age_ms(directory, loop_boot_ms())};

    store_items_encode(items, data);
    message.data = data->data;
    message.data_bytes = data->len;
    link_send(inbound->link, &message);
    g_byte_array_unref(data);
    store_items_destroy(items);
}

static void
on_load(struct inbound *inbound, const struct message *message)
{
    GArray *rows = peer_load_decode(message->data, message->data_bytes);

    if (rows == NULL) {
        LOG_WARN("a peer's load can't be read", "peer=%s", inbound->instance);
        return;
    }
    endpoints_set_peer_load(inbound->peers->endpoints, inbound->instance,
                            rows);
}

static void
on_inbound_up(void *data, struct link *link, const struct message *hello)
{
    struct inbound *inbound = data;

    (void)link;
    inbound->instance = g_strdup(hello->instance);
    inbound->received_ms = loop_now_ms(inbound->peers->loop);
}

static void
on_inbound_message(void *data, struct link *link,
                   const struct message *message)
{
    struct inbound *inbound = data;

    (void)link;
    inbound->received_ms = loop_now_ms(inbound->peers->loop);
    switch (message->type) {
    case MESSAGE_PEER_ASK:
        send_state(inbound, message);
        break;
    case MESSAGE_SNAPSHOT_ASK:
        send_snapshot(inbound, message);
        break;
    case MESSAGE_PEER_LOAD:
        on_load(inbound, message);
        break;
    default:
        LOG_WARN("a message that is not for gateways", "peer=%s type=%s",
                 inbound->instance, message_type_name(message->type));
        break;
    }
}

static void
on_inbound_down(void *data, struct link *link, const char *why)
{
    struct inbound *inbound = data;

    (void)why;
    if (inbound->instance != NULL) {
        endpoints_set_peer_load(inbound->peers->endpoints, inbound->instance,
                                NULL);
    }
    link_destroy(link);
    g_ptr_array_remove_fast(inbound->peers->inbounds, inbound);
    g_free(inbound->instance);
    g_free(inbound);
}

static const struct link_handlers inbound_handlers = {
    on_inbound_up, on_inbound_message, on_inbound_down};

static void
on_connection(void *data, int fd, uint32_t events)
{
    struct peers *peers = data;
    struct inbound *inbound;
    int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    (void)events;
    if (accepted < 0) {
        if (errno != EAGAIN) {
            LOG_WARN("a gateway can't be accepted", "error=\"%s\"",
                     g_strerror(errno));
        }
        return;
    }
    inbound = g_new0(struct inbound, 1);
    inbound->peers = peers;
    inbound->received_ms = loop_now_ms(peers->loop);
    inbound->link = link_accept(peers->loop, accepted, peers->identity,
                                &inbound_handlers, inbound);
    g_ptr_array_add(peers->inbounds, inbound);
}

/* Those that this gateway needs no news from are asked the more seldom the
   more there are. */
static uint64_t
ask_period(const struct peer *peer)
{
    return peer->is_source ? 1 : interval_factor(peer->peers);
}

/* Connections may go silent without an end. */
static void
check_links(struct peers *peers, uint64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct peer *peer = value;

        if (peer->link == NULL) {
            connect_peer(peer);
        }
        else if (now_ms >
                 peer->received_ms + PEER_TIMEOUT_MS * ask_period(peer)) {
            link_close(peer->link, "silent");
        }
        else if (link_is_up(peer->link) &&
                 peers->heartbeats % ask_period(peer) == 0) {
            ask_state(peer);
        }
    }
    peers->heartbeats++;
    for (guint i = 0; i < peers->inbounds->len; i++) {
        struct inbound *inbound = g_ptr_array_index(peers->inbounds, i);

        if (now_ms > inbound->received_ms + PEER_TIMEOUT_MS) {
            link_close(inbound->link, "silent");
        }
    }
}

static void
on_heartbeat_timer(void *data, uint64_t now_ms)
{
    struct peers *peers = data;

    check_links(peers, now_ms);
    if (now_ms >= peers->load_sent_ms + HEARTBEAT_MS) {
        send_load(peers, now_ms);
    }
    loop_timer_arm(peers->heartbeat_timer, now_ms + HEARTBEAT_MS);
}

struct peers *
peers_create(struct loop *loop, const struct peers_settings *settings,
             const struct link_identity *identity, struct directory *directory,
             struct endpoints *endpoints)
{
    struct peers *peers;
    int fd = link_listen(settings->ip, settings->port);

    if (fd < 0) {
        return NULL;
    }
    peers = g_new0(struct peers, 1);
    peers->loop = loop;
    peers->identity = identity;
    peers->directory = directory;
    peers->endpoints = endpoints;
    peers->own_address =
        g_strdup_printf("%s:%u", settings->ip, settings->port);
    peers->seeds = g_strdupv(settings->seeds);
    peers->min_load_interval_ms = settings->min_load_interval_ms;
    peers->by_address =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    peers->inbounds = g_ptr_array_new();
    peers->heartbeat_timer =
        loop_timer_create(loop, on_heartbeat_timer, peers);
    peers->gateway_count = 1;
    peers->list_timer = loop_timer_create(loop, on_list_timer, peers);
    peers->load_timer = loop_timer_create(loop, on_load_timer, peers);
    if (!loop_watch(loop, fd, EPOLLIN, on_connection, peers)) {
        close(fd);
        return NULL;
    }
    peers_list_changed(peers);
    loop_timer_arm(peers->heartbeat_timer, loop_now_ms(loop) + HEARTBEAT_MS);
    return peers;
}
