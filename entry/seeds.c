#include "entry/seeds.h"

#include <glib.h>

#include "core/ini.h"
#include "core/members.h"
#include "core/message.h"
#include "io/link.h"
#include "io/log.h"
#include "io/loop.h"

#define LOG_PART "seeds"

enum {
    CONNECT_INTERVAL_MS = 1000
};

struct seed {
    struct seeds *seeds;
    struct ini_address address;
    struct link *link; /* NULL: not connected */
    bool identified;
};

struct seeds {
    struct loop *loop;
    const struct link_identity *identity;
    struct members *members;
    void (*config)(void *data, const struct message *message);
    void *data;
    struct seed *list;
    size_t count;
    struct loop_timer *timer;
};

static void
on_up(void *data, struct link *link, const struct message *hello)
{
    struct seed *seed = data;
    const struct member member = {.instance = (char *)hello->instance,
                                  .data_centre = (char *)hello->data_centre,
                                  .ip = seed->address.ip,
                                  .port = seed->address.port};

    seed->identified = true;
    members_add(seed->seeds->members, &member);
    LOG_INFO("seed is used as an endpoint until the platform's list arrives",
             "instance=%s", hello->instance);
    (void)link;
}

static void
on_message(void *data, struct link *link, const struct message *message)
{
    struct seed *seed = data;

    if (message->type == MESSAGE_CONFIG) {
        seed->seeds->config(seed->seeds->data, message);
        link_close(link, "asked");
    }
}

static void
on_down(void *data, struct link *link, const char *why)
{
    struct seed *seed = data;

    (void)why;
    seed->link = NULL;
    link_destroy(link);
}

static void
connect_seed(struct seed *seed)
{
    static const struct link_handlers handlers = {on_up, on_message, on_down};
    struct seeds *seeds = seed->seeds;

    if (seed->identified || seed->link != NULL) {
        return;
    }
    seed->link =
        link_connect(seeds->loop, seed->address.ip, seed->address.port,
                     seeds->identity, &handlers, seed);
}

static void
on_timer(void *data, uint64_t now_ms)
{
    struct seeds *seeds = data;

    for (size_t i = 0; i < seeds->count; i++) {
        connect_seed(&seeds->list[i]);
    }
    loop_timer_arm(seeds->timer, now_ms + CONNECT_INTERVAL_MS);
}

struct seeds *
seeds_create(struct loop *loop, char **addresses,
             const struct link_identity *identity, struct members *members,
             void (*config)(void *data, const struct message *message),
             void *data)
{
    struct seeds *seeds = g_new0(struct seeds, 1);

    seeds->loop = loop;
    seeds->identity = identity;
    seeds->members = members;
    seeds->config = config;
    seeds->data = data;
    seeds->count = addresses != NULL ? g_strv_length(addresses) : 0;
    seeds->list = g_new0(struct seed, seeds->count);
    for (size_t i = 0; i < seeds->count; i++) {
        seeds->list[i].seeds = seeds;
        ini_parse_address(addresses[i], &seeds->list[i].address);
    }
    seeds->timer = loop_timer_create(loop, on_timer, seeds);
    loop_timer_arm(seeds->timer, loop_now_ms(loop) + CONNECT_INTERVAL_MS);
    return seeds;
}

void
seeds_stop(struct seeds *seeds)
{
    loop_timer_disarm(seeds->timer);
}
