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
    FEW_GATEWAYS = 8,
    /* How often the others are asked, and told the load if it has not
       changed: a few times in the life of what they say. */
    ASK_MS = 500,
    /* A peer that has said nothing for so long is not counted any more. */
    SILENT_MS = 1600,
    /* While the store answers, own knowledge is left to it up to this age; its
       answers come every second, and are a second old then. */
    FETCH_AGE_MS = 2500,
    /* Between two questions for a snapshot, whoever they go to. */
    FETCH_PAUSE_MS = 300,
};

/* A link of our own to another gateway. */
struct peer {
    struct peers *peers;
    char *address; /* "ip:port" */
    struct link *link;
    uint64_t heard_ms;
    bool listed;
    bool is_asked; /* for news of the store, often */
};

/* Another gateway's link to us. */
struct guest {
    struct peers *peers;
    struct link *link;
    char *instance;
    uint64_t heard_ms;
};

struct peers {
    struct loop *loop;
    const struct link_identity *identity;
    struct directory *directory;
    struct endpoints *endpoints;
    char *own_address;
    char **seeds;
    uint32_t load_ms;
    GHashTable *by_address; /* struct peer, owned */
    GPtrArray *guests;      /* struct guest */
    struct loop_timer *ask_timer;
    struct loop_timer *load_timer;
    struct loop_timer *list_timer;
    bool load_due;
    uint64_t load_sent_ms;
    uint64_t fetched_ms; /* when a snapshot was asked for last */
    uint32_t count;
    uint32_t rank;    /* among those that may follow the store */
    uint64_t told_ms; /* the newest that others have told is of then */
    uint64_t asks;
};

static void
send_load(struct peers *peers, uint64_t now_ms)
{
    GByteArray *data = g_byte_array_new();
    struct message message = {.type = MESSAGE_PEER_LOAD};
    GHashTableIter iter;
    gpointer value;

    peers->load_due = false;
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
times_few(const struct peers *peers)
{
    return (peers->count + FEW_GATEWAYS - 1) / FEW_GATEWAYS;
}

/* What a gateway receives grows with the number of the others, and so does
   what it sends: both stay as they are with a few. */
static uint64_t
load_interval_ms(const struct peers *peers)
{
    return peers->load_ms * times_few(peers) * times_few(peers);
}

void
peers_load_changed(struct peers *peers)
{
    if (!peers->load_due) {
        peers->load_due = true;
        loop_timer_arm(peers->load_timer,
                       MAX(peers->load_sent_ms + load_interval_ms(peers),
                           loop_now_ms(peers->loop) + 1));
    }
}

/* Our own links. */

static void
ask(struct peer *peer)
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
    peer->heard_ms = loop_now_ms(peer->peers->loop);
    ask(peer);
    peers_load_changed(peer->peers);
}

/* A peer's knowledge counts from when it was asked, so that the time on the
   way, or in a suspended process's buffers, makes it older and never newer. */
static uint64_t
proven_ms(const struct message *message)
{
    return message->stamp_ms - MIN(message->age_ms, message->stamp_ms);
}

static void
take_state(struct peer *peer, const struct message *message)
{
    struct peers *peers = peer->peers;
    uint64_t now_ms = loop_now_ms(peers->loop);
    struct message request = {.type = MESSAGE_SNAPSHOT_ASK,
                              .since = directory_revision(peers->directory)};

    if (message->age_ms == UINT64_MAX) {
        return;
    }
    if (directory_prove(peers->directory, message->revision,
                        proven_ms(message), loop_boot_ms())) {
        peers->told_ms = MAX(peers->told_ms, proven_ms(message));
        return;
    }
    if (directory_is_followed(peers->directory, loop_boot_ms(),
                              FETCH_AGE_MS) ||
        now_ms < peers->fetched_ms + FETCH_PAUSE_MS) {
        return;
    }
    peers->fetched_ms = now_ms;
    request.stamp_ms = loop_boot_ms();
    link_send(peer->link, &request);
}

static void
take_snapshot(struct peer *peer, const struct message *message)
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
    directory_take(directory, items, message->since == 0, proven_ms(message),
                   loop_boot_ms());
    peer->peers->told_ms = MAX(peer->peers->told_ms, proven_ms(message));
    store_items_destroy(items);
}

static void
on_peer_message(void *data, struct link *link, const struct message *message)
{
    struct peer *peer = data;

    (void)link;
    peer->heard_ms = loop_now_ms(peer->peers->loop);
    if (message->type == MESSAGE_PEER_STATE) {
        take_state(peer, message);
    }
    else if (message->type == MESSAGE_SNAPSHOT) {
        take_snapshot(peer, message);
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
    peer->heard_ms = loop_now_ms(peer->peers->loop);
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
choose_followers(struct peers *peers, const GPtrArray *addresses)
{
    const char *const *list = (const char *const *)addresses->pdata;
    GPtrArray *asked =
        followers_asked(peers->own_address, list, addresses->len);
    GHashTableIter iter;
    gpointer value;

    peers->rank = followers_rank(peers->own_address, list, addresses->len);
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct peer *peer = value;

        /* Seeds are asked while no list is known. */
        peer->is_asked = addresses->len == 0 ||
                         g_ptr_array_find_with_equal_func(asked, peer->address,
                                                          g_str_equal, NULL);
    }
    g_ptr_array_free(asked, TRUE);
}

uint32_t
peers_follower_rank(const struct peers *peers)
{
    return peers->rank;
}

bool
peers_need_store(const struct peers *peers, uint64_t now_ms)
{
    return followers_needed(peers->rank, peers->count,
                            peers->told_ms == 0
                                ? UINT64_MAX
                                : now_ms - MIN(peers->told_ms, now_ms));
}

/* Not from within a link's handler, since it ends links. */
static void
on_list_timer(void *data, uint64_t now_ms)
{
    struct peers *peers = data;
    GPtrArray *addresses = directory_gateways(peers->directory);
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
    peers->count = g_hash_table_size(peers->by_address) + 1;
    choose_followers(peers, addresses);
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
    return peers->count;
}

/* The others' links. */

static void
answer_state(struct guest *guest, const struct message *question)
{
    struct directory *directory = guest->peers->directory;
    struct message message = {.type = MESSAGE_PEER_STATE,
                              .stamp_ms = question->stamp_ms,
                              .revision = directory_revision(directory),
                              .age_ms =
                                  directory_age_ms(directory, loop_boot_ms())};

    link_send(guest->link, &message);
}

static void
answer_snapshot(struct guest *guest, const struct message *question)
{
    struct directory *directory = guest->peers->directory;
    struct store_items *items = directory_items(directory, question->since);
    GByteArray *data = g_byte_array_new();
    struct message message = {.type = MESSAGE_SNAPSHOT,
                              .stamp_ms = question->stamp_ms,
                              .revision = items->revision,
                              .since = question->since,
                              .age_ms =
                                  directory_age_ms(directory, loop_boot_ms())};

    store_items_encode(items, data);
    message.data = data->data;
    message.data_bytes = data->len;
    link_send(guest->link, &message);
    g_byte_array_unref(data);
    store_items_destroy(items);
}

static void
take_load(struct guest *guest, const struct message *message)
{
    GArray *rows = peer_load_decode(message->data, message->data_bytes);

    if (rows == NULL) {
        LOG_WARN("a peer's load can't be read", "peer=%s", guest->instance);
        return;
    }
    endpoints_set_peer_load(guest->peers->endpoints, guest->instance, rows);
}

static void
on_guest_up(void *data, struct link *link, const struct message *hello)
{
    struct guest *guest = data;

    (void)link;
    guest->instance = g_strdup(hello->instance);
    guest->heard_ms = loop_now_ms(guest->peers->loop);
}

static void
on_guest_message(void *data, struct link *link, const struct message *message)
{
    struct guest *guest = data;

    (void)link;
    guest->heard_ms = loop_now_ms(guest->peers->loop);
    switch (message->type) {
    case MESSAGE_PEER_ASK:
        answer_state(guest, message);
        break;
    case MESSAGE_SNAPSHOT_ASK:
        answer_snapshot(guest, message);
        break;
    case MESSAGE_PEER_LOAD:
        take_load(guest, message);
        break;
    default:
        LOG_WARN("a message that is not for gateways", "peer=%s type=%s",
                 guest->instance, message_type_name(message->type));
        break;
    }
}

static void
on_guest_down(void *data, struct link *link, const char *why)
{
    struct guest *guest = data;

    (void)why;
    if (guest->instance != NULL) {
        endpoints_set_peer_load(guest->peers->endpoints, guest->instance,
                                NULL);
    }
    link_destroy(link);
    g_ptr_array_remove_fast(guest->peers->guests, guest);
    g_free(guest->instance);
    g_free(guest);
}

static const struct link_handlers guest_handlers = {
    on_guest_up, on_guest_message, on_guest_down};

static void
on_connection(void *data, int fd, uint32_t events)
{
    struct peers *peers = data;
    struct guest *guest;
    int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    (void)events;
    if (accepted < 0) {
        if (errno != EAGAIN) {
            LOG_WARN("a gateway can't be accepted", "error=\"%s\"",
                     g_strerror(errno));
        }
        return;
    }
    guest = g_new0(struct guest, 1);
    guest->peers = peers;
    guest->heard_ms = loop_now_ms(peers->loop);
    guest->link = link_accept(peers->loop, accepted, peers->identity,
                              &guest_handlers, guest);
    g_ptr_array_add(peers->guests, guest);
}

/* Those that this gateway needs no news from are asked the more seldom the
   more there are. */
static uint64_t
asked_every(const struct peer *peer)
{
    return peer->is_asked ? 1 : times_few(peer->peers);
}

/* Connections may go silent without an end. */
static void
check_silence(struct peers *peers, uint64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct peer *peer = value;

        if (peer->link == NULL) {
            connect_peer(peer);
        }
        else if (now_ms > peer->heard_ms + SILENT_MS * asked_every(peer)) {
            link_close(peer->link, "silent");
        }
        else if (link_is_up(peer->link) &&
                 peers->asks % asked_every(peer) == 0) {
            ask(peer);
        }
    }
    peers->asks++;
    for (guint i = 0; i < peers->guests->len; i++) {
        struct guest *guest = g_ptr_array_index(peers->guests, i);

        if (now_ms > guest->heard_ms + SILENT_MS) {
            link_close(guest->link, "silent");
        }
    }
}

static void
on_ask_timer(void *data, uint64_t now_ms)
{
    struct peers *peers = data;

    check_silence(peers, now_ms);
    if (now_ms >= peers->load_sent_ms + ASK_MS) {
        send_load(peers, now_ms);
    }
    loop_timer_arm(peers->ask_timer, now_ms + ASK_MS);
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
    peers->load_ms = settings->load_ms;
    peers->by_address =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    peers->guests = g_ptr_array_new();
    peers->ask_timer = loop_timer_create(loop, on_ask_timer, peers);
    peers->count = 1;
    peers->list_timer = loop_timer_create(loop, on_list_timer, peers);
    peers->load_timer = loop_timer_create(loop, on_load_timer, peers);
    if (!loop_watch(loop, fd, EPOLLIN, on_connection, peers)) {
        close(fd);
        return NULL;
    }
    peers_list_changed(peers);
    loop_timer_arm(peers->ask_timer, loop_now_ms(loop) + ASK_MS);
    return peers;
}
