#include "entry/config_links.h"

#include <glib.h>

#include "core/members.h"
#include "core/rendezvous.h"
#include "entry/agents.h"
#include "io/loop.h"

enum {
    RECONNECT_INTERVAL_MS = 2000
};

struct config_links {
    const char *instance;
    struct loop *loop;
    struct members *members;
    struct agents *agents;
    GPtrArray *entries; /* instance names, NULL-terminated */
    struct loop_timer *timer;
};

static void
update_links(struct config_links *links)
{
    const char *const *entries = (const char *const *)links->entries->pdata;

    for (uint32_t i = 0; i < members_count(links->members); i++) {
        const struct member *member = members_get(links->members, i);
        bool selected =
            !member->draining &&
            rendezvous_is_selected(member->instance, links->instance, entries,
                                   links->entries->len - 1);

        agents_set_persistent(links->agents, i, selected);
    }
}

static void
on_timer(void *data, uint64_t now_ms)
{
    struct config_links *links = data;

    agents_connect_persistent(links->agents);
    loop_timer_arm(links->timer, now_ms + RECONNECT_INTERVAL_MS);
}

struct config_links *
config_links_create(struct loop *loop, const char *instance,
                    struct members *members, struct agents *agents)
{
    struct config_links *links = g_new0(struct config_links, 1);

    links->instance = instance;
    links->loop = loop;
    links->members = members;
    links->agents = agents;
    links->entries = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(links->entries, NULL);
    links->timer = loop_timer_create(loop, on_timer, links);
    loop_timer_arm(links->timer, loop_now_ms(loop) + RECONNECT_INTERVAL_MS);
    return links;
}

void
config_links_set_entries(struct config_links *links, const struct member *list,
                         size_t count)
{
    g_ptr_array_set_size(links->entries, 0);
    for (size_t i = 0; i < count; i++) {
        if (!list[i].draining) {
            g_ptr_array_add(links->entries, g_strdup(list[i].instance));
        }
    }
    g_ptr_array_add(links->entries, NULL);
    config_links_agents_changed(links);
}

void
config_links_agents_changed(struct config_links *links)
{
    update_links(links);
    agents_connect_persistent(links->agents);
}
