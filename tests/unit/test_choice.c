/* The entry's choice of candidates and homes: who is asked first, who comes
   last, what changes when instances come and go. */

#include <glib.h>
#include <stdio.h>

#include "core/config.h"
#include "core/rendezvous.h"
#include "core/members.h"
#include "core/prefix.h"
#include "core/prefix_cache.h"

enum {
    NODES = 20,
    ROUNDS = 400,
    MAX = 8,
    NAME_BYTES = 32,
    PROMPTS = 200
};

static char *patterns[] = {(char *)"a-*", NULL};
static const struct pool pool = {.name = (char *)"pool",
                                 .endpoints = patterns};

struct fleet {
    struct members *members;
    struct member list[NODES];
    char names[NODES][NAME_BYTES];
    uint32_t left;
    GRand *rand;
};

static void
on_left(void *context, uint32_t node)
{
    struct fleet *fleet = context;

    (void)node;
    fleet->left++;
}

static struct fleet *
create_fleet(void)
{
    static const struct members_ops ops = {on_left};
    struct fleet *fleet = g_new0(struct fleet, 1);

    fleet->rand = g_rand_new_with_seed(1);
    fleet->members = members_create("near", MEMBERS_LATE_BINDING, &ops, fleet);
    for (int i = 0; i < NODES; i++) {
        snprintf(fleet->names[i], NAME_BYTES, "a-%d", i);
        fleet->list[i].instance = fleet->names[i];
        fleet->list[i].data_centre = (char *)(i % 2 == 0 ? "near" : "far");
        fleet->list[i].ip = (char *)"127.0.0.1";
        fleet->list[i].port = (uint16_t)(1000 + i);
    }
    members_update(fleet->members, fleet->list, NODES);
    return fleet;
}

static void
destroy_fleet(struct fleet *fleet)
{
    members_destroy(fleet->members);
    g_rand_free(fleet->rand);
    g_free(fleet);
}

static uint32_t
first_choice(struct fleet *fleet, uint64_t affinity, uint64_t now_ms)
{
    uint32_t nodes[MAX];

    g_assert_cmpuint(members_choose(fleet->members, &pool, affinity,
                                    fleet->rand, now_ms, nodes, MAX),
                     >, 0);
    return nodes[0];
}

/* All different, spread over the fleet, the own data centre first. */
static void
test_spread(void)
{
    struct fleet *fleet = create_fleet();
    uint32_t chosen[NODES] = {0};
    uint32_t near = 0;

    for (int round = 0; round < ROUNDS; round++) {
        uint32_t nodes[MAX];
        size_t count = members_choose(fleet->members, &pool, 0, fleet->rand, 0,
                                      nodes, MAX);

        g_assert_cmpuint(count, ==, MAX);
        for (size_t i = 0; i < count; i++) {
            for (size_t j = 0; j < i; j++) {
                g_assert_cmpuint(nodes[i], !=, nodes[j]);
            }
            chosen[nodes[i]]++;
        }
        near += nodes[0] % 2 == 0;
    }
    for (int i = 0; i < NODES; i++) {
        g_assert_cmpuint(chosen[i], >, 0);
    }
    g_assert_cmpuint(near, >, ROUNDS * 9 / 10);
    destroy_fleet(fleet);
}

/* The same prefix has the same first choice; when one instance leaves, only
   prompts that were placed there move. */
static void
test_affinity(void)
{
    struct fleet *fleet = create_fleet();
    uint32_t before[PROMPTS];
    uint32_t moved = 0;

    for (uint64_t i = 0; i < PROMPTS; i++) {
        before[i] = first_choice(fleet, i + 1, 0);
        g_assert_cmpuint(first_choice(fleet, i + 1, 0), ==, before[i]);
    }
    fleet->list[5].draining = true;
    members_update(fleet->members, fleet->list, NODES);
    g_assert_cmpuint(fleet->left, ==, 1);
    for (uint64_t i = 0; i < PROMPTS; i++) {
        uint32_t now = first_choice(fleet, i + 1, 0);

        g_assert_cmpuint(now, !=, 5);
        if (now != before[i]) {
            g_assert_cmpuint(before[i], ==, 5);
            moved++;
        }
    }
    g_assert_cmpuint(moved, >, 0);
    destroy_fleet(fleet);
}

/* A node that fails is left alone, comes back slowly, and then as before. */
static void
test_ejection(void)
{
    struct fleet *fleet = create_fleet();
    uint32_t during = 0;
    uint32_t after = 0;

    for (int i = 0; i < 3; i++) {
        members_record_failure(fleet->members, 0, 1000);
    }
    for (int round = 0; round < ROUNDS; round++) {
        during += first_choice(fleet, 0, 1500) == 0;
        after += first_choice(fleet, 0, 60000) == 0;
    }
    g_assert_cmpuint(during, ==, 0);
    g_assert_cmpuint(after, >, 0);
    destroy_fleet(fleet);
}

/* An empty list is the platform's fault; a missing instance has left. */
static void
test_lists(void)
{
    struct fleet *fleet = create_fleet();
    uint32_t node;

    g_assert_cmpuint(members_update(fleet->members, fleet->list, 0), ==, 0);
    g_assert_cmpuint(members_update(fleet->members, fleet->list, NODES), ==,
                     0);
    g_assert_cmpuint(members_update(fleet->members, fleet->list, NODES - 1),
                     ==, 1);
    g_assert_true(members_find(fleet->members, "a-19", &node));
    g_assert_true(members_get(fleet->members, node)->draining);
    g_assert_cmpuint(fleet->left, ==, 1);
    destroy_fleet(fleet);
}

/* Each agent has two homes; an entry that goes changes only its own share. */
static void
test_homes(void)
{
    const char *entries[] = {"e-0", "e-1", "e-2", "e-3", "e-4", "e-5"};
    uint32_t changed = 0;

    for (int agent = 0; agent < PROMPTS; agent++) {
        char name[NAME_BYTES];
        uint32_t homes = 0;

        snprintf(name, sizeof(name), "a-%d", agent);
        for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
            bool home = rendezvous_is_selected(name, entries[i], entries,
                                               G_N_ELEMENTS(entries));
            bool without =
                rendezvous_is_selected(name, entries[i], entries, 5);

            homes += home;
            if (i < 5 && home != without) {
                g_assert_true(without);
                g_assert_true(rendezvous_is_selected(name, "e-5", entries, 6));
                changed++;
            }
        }
        g_assert_cmpuint(homes, ==, ENTRIES_PER_AGENT);
    }
    g_assert_cmpuint(changed, >, 0);
}

static void
test_prefixes(void)
{
    char *first = g_strnfill(5000, 'a');
    char *second = g_strnfill(5000, 'a');
    uint64_t hashes[16];
    uint64_t others[16];
    struct prefix_cache *cache = prefix_cache_create(8192);
    uint32_t count;

    second[4500] = 'b';
    count = prefix_hashes(first, 5000, hashes, 16);
    g_assert_cmpuint(count, ==, 3);
    g_assert_cmpuint(prefix_hashes(second, 5000, others, 16), ==, 3);
    g_assert_cmpuint(hashes[0], ==, others[0]);
    second[3000] = 'b';
    prefix_hashes(second, 5000, others, 16);
    g_assert_cmpuint(hashes[0], !=, others[0]);
    g_assert_cmpuint(hashes[1], ==, others[1]);
    g_assert_cmpuint(prefix_affinity(hashes, count), ==,
                     prefix_affinity(others, count));
    prefix_cache_add(cache, hashes, count);
    g_assert_cmpuint(prefix_cache_lookup(cache, hashes, count), ==, 4096);
    g_assert_cmpuint(prefix_cache_lookup(cache, others, count), ==, 2048);
    prefix_cache_set_capacity(cache, 2048);
    g_assert_cmpuint(prefix_cache_lookup(cache, hashes, count), ==, 2048);
    prefix_cache_clear(cache);
    g_assert_cmpuint(prefix_cache_lookup(cache, hashes, count), ==, 0);
    g_assert_cmpuint(prefix_hashes(first, 100, hashes, 16), ==, 0);
    prefix_cache_destroy(cache);
    g_free(first);
    g_free(second);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/choice/spread", test_spread);
    g_test_add_func("/choice/affinity", test_affinity);
    g_test_add_func("/choice/ejection", test_ejection);
    g_test_add_func("/choice/lists", test_lists);
    g_test_add_func("/choice/homes", test_homes);
    g_test_add_func("/choice/prefixes", test_prefixes);
    return g_test_run();
}
