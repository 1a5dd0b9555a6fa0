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
#include "core/rendezvous.h"
#include "core/store_revision.h"
#include "gateway/directory.h"
#include "gateway/peer_changes.h"
#include "io/link.h"
#include "io/log.h"
#include "io/loop.h"
#include "io/store_items.h"

#define LOG_PART "peers"

enum {
    /* With up to this many gateways load messages are sent at the interval of
       the settings. */
    FULL_RATE_GATEWAYS = 8,
    /* Between state requests, and between load messages while the load doesn't
       change. Three fit into PEER_TIMEOUT_MS. */
    HEARTBEAT_MS = 500,
    /* A link without a message for this long is closed, and the load that the
       peer has reported no longer counts. */
    PEER_TIMEOUT_MS = 1600,
    /* No snapshot is fetched while the store answers and the directory is
       younger than this. By default the store's responses come every second
       and are up to a second old when they arrive, so the directory's age
       reaches two seconds. */
    STORE_FRESH_MS = 2500,
    /* A change that a peer has is waited for so long while the store answers;
       the store's watch returns it within a fraction of that. */
    BEHIND_MS = 400,
    /* Between two requests for changes, to any peer, and after the last part
       of a reply, so that a long one is not asked for twice. */
    SNAPSHOT_INTERVAL_MS = 300,
};

/* A link that this gateway opened to another one. */
struct peer {
    struct peers *peers;
    char *address;     /* "ip:port" */
    char *data_centre; /* by its last hello; NULL: none yet */
    bool is_local;     /* in this gateway's data centre */
    struct link *link;
    uint64_t received_ms;
    bool listed;
    bool is_source;    /* polled for the store's changes at each heartbeat */
    uint64_t features; /* of the peer's hello, see core/message.h */
    struct peer_changes *changes; /* parts of a reply; NULL: not connected */
};

/* A link that another gateway opened to this one. */
struct inbound {
    struct peers *peers;
    struct link *link;
    char *instance;
    uint64_t features; /* of the gateway's hello, see core/message.h */
    uint64_t received_ms;
    /* A request for changes that waits until the copy is complete, or NULL. */
    struct message *request;
};

struct peers {
    struct loop *loop;
    const struct link_identity *identity;
    struct directory *directory;
    struct endpoints *endpoints;
    char *own_address;
    char **seeds;
    uint32_t min_load_interval_ms;
    uint32_t capacity;
    GHashTable *by_address; /* struct peer, owned */
    GPtrArray *addresses;   /* of all gateways in the store */
    GPtrArray *inbounds;    /* struct inbound, freed when the link ends */
    struct loop_timer *heartbeat_timer;
    struct loop_timer *load_timer;
    struct loop_timer *list_timer;
    bool load_pending;
    uint64_t load_sent_ms;
    uint64_t changes_asked_ms; /* last request for changes, or part */
    uint64_t behind_revision;  /* that a peer has and this gateway lacks */
    uint64_t behind_ms;        /* since when; 0: never */
    uint32_t gateway_count;
    uint32_t local_count; /* gateways of this data centre */
    uint32_t local_rank;
    uint32_t follower_rank; /* for following the store */
    uint64_t confirmed_ms;  /* newest confirmation by a peer; 0: none */
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

/* The number of gateways as a multiple of FULL_RATE_GATEWAYS, rounded up. */
static uint64_t
interval_factor(const struct peers *peers)
{
    return (peers->gateway_count + FULL_RATE_GATEWAYS - 1) /
           FULL_RATE_GATEWAYS;
}

/* What a gateway sends and what it receives both grow with the number of
   gateways, so the load messages of all gateways grow with its square. The
   squared factor keeps their total rate about as with FULL_RATE_GATEWAYS. */
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

/* Links that this gateway opened. */

static void
request_state(struct peer *peer)
{
    struct message message = {.type = MESSAGE_PEER_ASK,
                              .stamp_ms = loop_clock_ms()};

    link_send(peer->link, &message);
}

static void
update_local_rank(struct peers *peers)
{
    GHashTableIter iter;
    gpointer value;

    peers->local_count = 1;
    peers->local_rank = 0;
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct peer *peer = value;

        if (peer->is_local) {
            peers->local_count++;
            peers->local_rank +=
                strcmp(peer->address, peers->own_address) < 0 ? 1 : 0;
        }
    }
}

uint32_t
peers_local_rank(const struct peers *peers, uint32_t *count)
{
    *count = peers->local_count;
    return peers->local_rank;
}

bool
peers_has_data_centre(const struct peers *peers, const char *data_centre)
{
    GHashTableIter iter;
    gpointer value;

    if (strcmp(peers->identity->data_centre, data_centre) == 0) {
        return true;
    }
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct peer *peer = value;

        if (g_strcmp0(peer->data_centre, data_centre) == 0) {
            return true;
        }
    }
    return false;
}

static void
on_peer_up(void *data, struct link *link, const struct message *hello)
{
    struct peer *peer = data;

    (void)link;
    LOG_INFO("link up", "peer=%s address=%s", hello->instance, peer->address);
    peer->received_ms = loop_now_ms(peer->peers->loop);
    g_free(peer->data_centre);
    peer->data_centre = g_strdup(hello->data_centre);
    peer->is_local =
        strcmp(hello->data_centre, peer->peers->identity->data_centre) == 0;
    peer->features = hello->generation;
    peer_changes_destroy(peer->changes);
    peer->changes = peer_changes_create();
    update_local_rank(peer->peers);
    request_state(peer);
    peers_load_changed(peer->peers);
}

/* The peer's age is subtracted from the time of this gateway's request, which
   the response repeats. Time on the network, or in the buffers of a suspended
   process, thus makes the data older and never newer. */
static uint64_t
message_confirmed_ms(const struct message *message)
{
    return message->stamp_ms - MIN(message->age_ms, message->stamp_ms);
}

/* Notes a revision that a peer has. An earlier one that is still lacking
   counts on. */
static void
note_behind(struct peers *peers, uint64_t revision, uint64_t now_ms)
{
    if (peers->behind_ms == 0 ||
        directory_revision(peers->directory) >= peers->behind_revision) {
        peers->behind_revision = revision;
        peers->behind_ms = now_ms;
    }
}

/* Asks for changes up to a revision that a peer has, unless the store's own
   watch will bring them, or some have been asked for just now. */
static void
ask_for_changes(struct peer *peer, uint64_t revision)
{
    struct peers *peers = peer->peers;
    uint64_t now_ms = loop_now_ms(peers->loop);

    note_behind(peers, revision, now_ms);
    if ((!directory_lacks_config(peers->directory) &&
         now_ms < peers->behind_ms + BEHIND_MS &&
         directory_follows_store(peers->directory, loop_clock_ms(),
                                 STORE_FRESH_MS)) ||
        now_ms < peers->changes_asked_ms + SNAPSHOT_INTERVAL_MS) {
        return;
    }
    peers->changes_asked_ms = now_ms;
    peer_changes_ask(peer->link, peers->directory, peer->features);
}

/* A peer that follows the store into a new era tells no age until the era's
   writers have written again. It still follows for the others, which would
   all list the store in these seconds otherwise. */
static void
on_state_without_age(struct peer *peer, const struct message *message)
{
    struct peers *peers = peer->peers;
    uint64_t known = directory_revision(peers->directory);
    uint64_t told_era = store_revision_era(message->revision);

    if (told_era == 0 || told_era < store_revision_era(known)) {
        return;
    }
    if (told_era > store_revision_era(known) ||
        directory_is_new_era(peers->directory, loop_clock_ms())) {
        peers->confirmed_ms = MAX(peers->confirmed_ms, message->stamp_ms);
    }
    if (message->revision > known) {
        ask_for_changes(peer, message->revision);
    }
}

static void
on_state(struct peer *peer, const struct message *message)
{
    struct peers *peers = peer->peers;

    if (message->age_ms == UINT64_MAX) {
        on_state_without_age(peer, message);
        return;
    }
    if (directory_confirm(peers->directory, message->revision,
                          message_confirmed_ms(message), peer->address,
                          loop_clock_ms())) {
        peers->confirmed_ms =
            MAX(peers->confirmed_ms, message_confirmed_ms(message));
        return;
    }
    /* A copy of an earlier era has nothing that this one lacks. */
    if (store_revision_era(message->revision) >=
        store_revision_era(directory_revision(peers->directory))) {
        ask_for_changes(peer, message->revision);
    }
}

static void
on_changes(struct peer *peer, const struct message *message)
{
    struct peers *peers = peer->peers;
    bool malformed;
    struct store_items *items =
        peer_changes_take(peer->changes, message, &malformed);

    peers->changes_asked_ms = loop_now_ms(peers->loop);
    if (malformed) {
        LOG_WARN("can't decode a peer's changes", "address=%s", peer->address);
    }
    if (items == NULL) {
        return;
    }
    LOG_INFO("knowledge of the store taken from a peer",
             "address=%s since=%s revision=%s age_ms=%" G_GUINT64_FORMAT,
             peer->address, store_revision_text(message->since).text,
             store_revision_text(message->revision).text, message->age_ms);
    directory_apply(peers->directory, items, message->since == 0,
                    message_confirmed_ms(message), peer->address,
                    loop_clock_ms());
    peers->confirmed_ms =
        MAX(peers->confirmed_ms, message_confirmed_ms(message));
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
    else if (message->type == MESSAGE_SNAPSHOT ||
             message->type == MESSAGE_CHANGES) {
        on_changes(peer, message);
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
        LOG_WARN("can't parse a gateway's address", "address=%s",
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
    peer_changes_destroy(peer->changes);
    g_free(peer->address);
    g_free(peer->data_centre);
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
    const struct followers_gateway own = {peers->own_address, peers->capacity};
    struct followers_gateway *list =
        g_new(struct followers_gateway, addresses->len + 1);
    GPtrArray *sources;
    GHashTableIter iter;
    gpointer value;

    for (guint i = 0; i < addresses->len; i++) {
        const char *name = g_ptr_array_index(addresses, i);

        list[i] = (struct followers_gateway){
            name, directory_gateway_capacity(peers->directory, name)};
    }
    sources = followers_to_ask(peers->own_address, list, addresses->len);
    peers->follower_rank = followers_rank(&own, list, addresses->len);
    g_free(list);
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct peer *peer = value;

        /* Without a list of gateways all seeds are polled. */
        peer->is_source = addresses->len == 0 ||
                          g_ptr_array_find_with_equal_func(
                              sources, peer->address, g_str_equal, NULL);
    }
    g_ptr_array_free(sources, TRUE);
}

uint32_t
peers_follower_rank(const struct peers *peers)
{
    return peers->follower_rank;
}

bool
peers_must_follow_store(const struct peers *peers, uint64_t now_ms)
{
    return followers_should_follow(
        peers->follower_rank, peers->gateway_count,
        peers->confirmed_ms == 0 ? UINT64_MAX
                                 : now_ms - MIN(peers->confirmed_ms, now_ms));
}

/* Runs from a timer and not from a link's handler, since it destroys links. */
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
    /* Seeds are used only until the list is known. */
    for (size_t i = 0; addresses->len == 0 && peers->seeds != NULL &&
                       peers->seeds[i] != NULL;
         i++) {
        add_peer(peers, peers->seeds[i]);
    }
    g_hash_table_foreach_remove(peers->by_address, is_unlisted, NULL);
    peers->gateway_count = g_hash_table_size(peers->by_address) + 1;
    update_followers(peers, addresses);
    update_local_rank(peers);
    g_ptr_array_free(peers->addresses, TRUE);
    peers->addresses = addresses;
}

uint32_t
peers_rank(const struct peers *peers, const char *key)
{
    return (uint32_t)rendezvous_rank(
        key, peers->own_address, (const char *const *)peers->addresses->pdata,
        peers->addresses->len);
}

const char *
peers_own_address(const struct peers *peers)
{
    return peers->own_address;
}

const GPtrArray *
peers_addresses(const struct peers *peers)
{
    return peers->addresses;
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

/* Links that other gateways opened. */

/* Whether the copy's revision means something to the other gateway. Builds
   that don't know eras have to follow the store themselves if it tells its
   era. */
static bool
may_share(const struct inbound *inbound)
{
    uint64_t revision = directory_revision(inbound->peers->directory);

    return store_revision_era(revision) == 0 ||
           (inbound->features & MESSAGE_PEER_ERAS) != 0;
}

static void
send_state(struct inbound *inbound, const struct message *request)
{
    struct directory *directory = inbound->peers->directory;
    struct message message = {
        .type = MESSAGE_PEER_STATE,
        .stamp_ms = request->stamp_ms,
        .revision = directory_revision(directory),
        .age_ms = may_share(inbound)
                      ? directory_shared_age_ms(directory, loop_clock_ms())
                      : UINT64_MAX};

    if (!may_share(inbound)) {
        message.revision = 0;
    }
    link_send(inbound->link, &message);
}

/* Replies when the copy is complete, which it is not while a configuration is
   decoded. */
static void
on_ask(struct inbound *inbound, const struct message *request)
{
    struct directory *directory = inbound->peers->directory;

    if (!may_share(inbound)) {
        return;
    }
    if (directory_may_send(directory)) {
        peer_changes_reply(inbound->link, directory, request);
        return;
    }
    g_free(inbound->request);
    inbound->request = g_memdup2(request, sizeof(*request));
}

void
peers_config_settled(struct peers *peers)
{
    for (guint i = 0; i < peers->inbounds->len; i++) {
        struct inbound *inbound = g_ptr_array_index(peers->inbounds, i);
        struct message *request = g_steal_pointer(&inbound->request);

        if (request != NULL) {
            on_ask(inbound, request);
            g_free(request);
        }
    }
}

static void
on_load(struct inbound *inbound, const struct message *message)
{
    GArray *rows = peer_load_decode(message->data, message->data_bytes);

    if (rows == NULL) {
        LOG_WARN("can't decode a peer's load", "peer=%s", inbound->instance);
        return;
    }
    endpoints_set_peer_load(inbound->peers->endpoints, inbound->instance, rows,
                            loop_now_ms(inbound->peers->loop));
}

static void
on_inbound_up(void *data, struct link *link, const struct message *hello)
{
    struct inbound *inbound = data;

    (void)link;
    inbound->instance = g_strdup(hello->instance);
    inbound->features = hello->generation;
    inbound->received_ms = loop_now_ms(inbound->peers->loop);
}

static void
on_inbound_message(void *data, struct link *link,
                   const struct message *message)
{
    struct inbound *inbound = data;

    inbound->received_ms = loop_now_ms(inbound->peers->loop);
    switch (message->type) {
    case MESSAGE_PEER_ASK:
        send_state(inbound, message);
        break;
    case MESSAGE_SNAPSHOT_ASK:
    case MESSAGE_CHANGES_ASK:
        /* The peer asks again if it gets none. */
        if (link_takes_more(link)) {
            on_ask(inbound, message);
        }
        break;
    case MESSAGE_PEER_LOAD:
        on_load(inbound, message);
        break;
    default:
        LOG_WARN("unexpected type of message from a peer", "peer=%s type=%s",
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
                                NULL, loop_now_ms(inbound->peers->loop));
    }
    link_destroy(link);
    g_ptr_array_remove_fast(inbound->peers->inbounds, inbound);
    g_free(inbound->request);
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
            LOG_WARN("can't accept a gateway's connection", "error=\"%s\"",
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

/* Heartbeats per state request. Peers that aren't sources of the store's
   changes are polled less often the more gateways there are. */
static uint64_t
request_period(const struct peer *peer)
{
    return peer->is_source ? 1 : interval_factor(peer->peers);
}

/* Opens lost links again, polls the peers, and closes links that have timed
   out: a broken connection need not report its end. The timeout is longer for
   peers that are polled less often. */
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
                 peer->received_ms + PEER_TIMEOUT_MS * request_period(peer)) {
            link_close(peer->link, "silent");
        }
        else if (link_is_up(peer->link) &&
                 peers->heartbeats % request_period(peer) == 0) {
            request_state(peer);
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
    peers->capacity = settings->capacity;
    peers->by_address =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    peers->addresses = g_ptr_array_new();
    peers->inbounds = g_ptr_array_new();
    peers->heartbeat_timer =
        loop_timer_create(loop, on_heartbeat_timer, peers);
    peers->gateway_count = 1;
    peers->local_count = 1;
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
