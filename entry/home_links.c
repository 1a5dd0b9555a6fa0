#include "entry/home_links.h"

#include <glib.h>

#include "core/rendezvous.h"
#include "core/members.h"
#include "entry/agents.h"
#include "io/loop.h"

enum {
    CHECK_MS = 2000
};

struct home_links {
    const char *instance;
    struct loop *loop;
    struct members *members;
    struct agents *agents;
    GPtrArray *entries; /* instance names, NULL-terminated */
    struct loop_timer *timer;
};

static void
keep_links(struct home_links *homes)
{
    const char *const *entries = (const char *const *)homes->entries->pdata;

    for (uint32_t i = 0; i < members_count(homes->members); i++) {
        const struct member *member = members_get(homes->members, i);
        bool home = !member->draining &&
                    rendezvous_is_selected(member->instance, homes->instance,
                                           entries, homes->entries->len - 1);

        agents_set_home(homes->agents, i, home);
    }
}

static void
on_timer(void *data, uint64_t now_ms)
{
    struct home_links *homes = data;

    agents_connect_homes(homes->agents);
    loop_timer_arm(homes->timer, now_ms + CHECK_MS);
}

struct home_links *
home_links_create(struct loop *loop, const char *instance,
                  struct members *members, struct agents *agents)
{
    struct home_links *homes = g_new0(struct home_links, 1);

    homes->instance = instance;
    homes->loop = loop;
    homes->members = members;
    homes->agents = agents;
    homes->entries = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(homes->entries, NULL);
    homes->timer = loop_timer_create(loop, on_timer, homes);
    loop_timer_arm(homes->timer, loop_now_ms(loop) + CHECK_MS);
    return homes;
}

void
home_links_entries(struct home_links *homes, const struct member *list,
                   size_t count)
{
    g_ptr_array_set_size(homes->entries, 0);
    for (size_t i = 0; i < count; i++) {
        if (!list[i].draining) {
            g_ptr_array_add(homes->entries, g_strdup(list[i].instance));
        }
    }
    g_ptr_array_add(homes->entries, NULL);
    home_links_agents_changed(homes);
}

void
home_links_agents_changed(struct home_links *homes)
{
    keep_links(homes);
    agents_connect_homes(homes->agents);
}
