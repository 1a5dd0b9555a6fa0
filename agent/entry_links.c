#include "agent/entry_links.h"

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

struct entry_links {
    struct loop *loop;
    const struct link_identity *identity;
    struct entry_links_handlers handlers;
    void *data;
    GHashTable *by_number; /* to struct entry_link */
    uint64_t last_number;
    _Atomic uint32_t connected;
};

struct entry_link {
    struct entry_links *links;
    uint64_t number;
    struct link *link;
    char instance[MESSAGE_NAME_BYTES];
    uint64_t incarnation;
    bool up;
};

uint32_t
entry_links_connected(const struct entry_links *links)
{
    return atomic_load(&links->connected);
}

void
entry_links_send(struct entry_links *links, uint64_t number,
                 const struct message *message)
{
    struct entry_link *entry = g_hash_table_lookup(links->by_number, &number);

    if (entry != NULL) {
        link_send(entry->link, message);
    }
}

void
entry_links_broadcast(struct entry_links *links, const struct message *message,
                      bool (*wanted)(void *data, uint64_t number))
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, links->by_number);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct entry_link *entry = value;

        if (entry->up &&
            (wanted == NULL || wanted(links->data, entry->number))) {
            link_send(entry->link, message);
        }
    }
}

static void
warn_of_duplicate(const struct entry_link *entry)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, entry->links->by_number);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct entry_link *other = value;

        if (other != entry && strcmp(other->instance, entry->instance) == 0 &&
            other->incarnation != entry->incarnation) {
            LOG_WARN("two processes use one instance id", "instance=%s",
                     entry->instance);
            return;
        }
    }
}

static void
on_up(void *data, struct link *link, const struct message *hello)
{
    struct entry_link *entry = data;
    struct entry_links *links = entry->links;

    (void)link;
    entry->up = true;
    atomic_fetch_add(&links->connected, 1);
    g_strlcpy(entry->instance, hello->instance, sizeof(entry->instance));
    entry->incarnation = hello->incarnation;
    warn_of_duplicate(entry);
    LOG_INFO("entry connected", "instance=%s incarnation=%016" PRIx64,
             entry->instance, entry->incarnation);
    links->handlers.up(links->data, entry->number, hello->generation);
}

static void
on_message(void *data, struct link *link, const struct message *message)
{
    struct entry_link *entry = data;
    struct entry_links *links = entry->links;

    (void)link;
    links->handlers.message(links->data, entry->number, message);
}

static void
on_down(void *data, struct link *link, const char *why)
{
    struct entry_link *entry = data;
    struct entry_links *links = entry->links;

    LOG_INFO("entry disconnected", "instance=%s why=\"%s\"",
             entry->instance[0] != '\0' ? entry->instance : "unknown", why);
    if (entry->up) {
        atomic_fetch_sub(&links->connected, 1);
    }
    links->handlers.down(links->data, entry->number);
    link_destroy(link);
    g_hash_table_remove(links->by_number, &entry->number);
}

static void
on_accept(void *data, int listen_fd, uint32_t events)
{
    static const struct link_handlers handlers = {on_up, on_message, on_down};
    struct entry_links *links = data;
    int fd = accept4(listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    struct entry_link *entry;

    (void)events;
    if (fd < 0) {
        return;
    }
    entry = g_new0(struct entry_link, 1);
    entry->links = links;
    entry->number = ++links->last_number;
    g_hash_table_insert(links->by_number, &entry->number, entry);
    entry->link =
        link_accept(links->loop, fd, links->identity, &handlers, entry);
}

struct entry_links *
entry_links_create(struct loop *loop, const char *ip, uint16_t port,
                   const struct link_identity *identity,
                   const struct entry_links_handlers *handlers, void *data)
{
    int fd = link_listen(ip, port);
    struct entry_links *links;

    if (fd < 0) {
        return NULL;
    }
    links = g_new0(struct entry_links, 1);
    links->loop = loop;
    links->identity = identity;
    links->handlers = *handlers;
    links->data = data;
    links->by_number =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    if (!loop_watch(loop, fd, EPOLLIN, on_accept, links)) {
        close(fd);
        g_hash_table_destroy(links->by_number);
        g_free(links);
        return NULL;
    }
    return links;
}
