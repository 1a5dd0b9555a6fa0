#include "agent/peers.h"

#include <glib.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/message.h"
#include "io/link.h"
#include "io/log.h"
#include "io/loop.h"

#define LOG_PART "agent"

struct peers {
    struct loop *loop;
    const struct link_identity *identity;
    struct peers_handlers handlers;
    void *data;
    GHashTable *by_number; /* struct peer */
    uint64_t last_number;
    _Atomic uint32_t connected;
};

struct peer {
    struct peers *peers;
    uint64_t number;
    struct link *link;
    char instance[MESSAGE_NAME_BYTES];
    uint64_t incarnation;
    bool up;
};

uint32_t
peers_connected(const struct peers *peers)
{
    return atomic_load(&peers->connected);
}

void
peers_send(struct peers *peers, uint64_t number, const struct message *message)
{
    struct peer *peer = g_hash_table_lookup(peers->by_number, &number);

    if (peer != NULL) {
        link_send(peer->link, message);
    }
}

void
peers_broadcast(struct peers *peers, const struct message *message,
                bool (*wanted)(void *data, uint64_t number))
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_number);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct peer *peer = value;

        if (peer->up &&
            (wanted == NULL || wanted(peers->data, peer->number))) {
            link_send(peer->link, message);
        }
    }
}

static void
warn_of_twin(const struct peer *peer)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peer->peers->by_number);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct peer *other = value;

        if (other != peer && strcmp(other->instance, peer->instance) == 0 &&
            other->incarnation != peer->incarnation) {
            LOG_WARN("two processes use one instance id", "instance=%s",
                     peer->instance);
            return;
        }
    }
}

static void
on_up(void *data, struct link *link, const struct message *hello)
{
    struct peer *peer = data;
    struct peers *peers = peer->peers;

    (void)link;
    peer->up = true;
    atomic_fetch_add(&peers->connected, 1);
    g_strlcpy(peer->instance, hello->instance, sizeof(peer->instance));
    peer->incarnation = hello->incarnation;
    warn_of_twin(peer);
    LOG_INFO("entry connected", "instance=%s incarnation=%016" PRIx64,
             peer->instance, peer->incarnation);
    peers->handlers.up(peers->data, peer->number, hello->generation);
}

static void
on_message(void *data, struct link *link, const struct message *message)
{
    struct peer *peer = data;
    struct peers *peers = peer->peers;

    (void)link;
    peers->handlers.message(peers->data, peer->number, message);
}

static void
on_down(void *data, struct link *link, const char *why)
{
    struct peer *peer = data;
    struct peers *peers = peer->peers;

    LOG_INFO("entry disconnected", "instance=%s why=\"%s\"",
             peer->instance[0] != '\0' ? peer->instance : "unknown", why);
    if (peer->up) {
        atomic_fetch_sub(&peers->connected, 1);
    }
    peers->handlers.down(peers->data, peer->number);
    link_destroy(link);
    g_hash_table_remove(peers->by_number, &peer->number);
}

static void
on_accept(void *data, int listen_fd, uint32_t events)
{
    static const struct link_handlers handlers = {on_up, on_message, on_down};
    struct peers *peers = data;
    int fd = accept4(listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    struct peer *peer;

    (void)events;
    if (fd < 0) {
        return;
    }
    peer = g_new0(struct peer, 1);
    peer->peers = peers;
    peer->number = ++peers->last_number;
    g_hash_table_insert(peers->by_number, &peer->number, peer);
    peer->link =
        link_accept(peers->loop, fd, peers->identity, &handlers, peer);
}

struct peers *
peers_create(struct loop *loop, const char *ip, uint16_t port,
             const struct link_identity *identity,
             const struct peers_handlers *handlers, void *data)
{
    int fd = link_listen(ip, port);
    struct peers *peers;

    if (fd < 0) {
        return NULL;
    }
    peers = g_new0(struct peers, 1);
    peers->loop = loop;
    peers->identity = identity;
    peers->handlers = *handlers;
    peers->data = data;
    peers->by_number =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    if (!loop_watch(loop, fd, EPOLLIN, on_accept, peers)) {
        close(fd);
        g_hash_table_destroy(peers->by_number);
        g_free(peers);
        return NULL;
    }
    return peers;
}
