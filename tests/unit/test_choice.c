/* Tests the choice of candidate nodes, the assignment of agents to entries by
   rendezvous hashing, and prefix hashes: the order of the candidates, and what
   changes when instances join or leave. */

#include <glib.h>
#include <stdio.h>

#include "core/config.h"
#include "core/members.h"
#include "core/prefix.h"
#include "core/prefix_cache.h"
#include "core/rendezvous.h"

enum {
    NODES = 20,
    ROUNDS = 400,
    MAX_CANDIDATES = 8,
    NAME_BYTES = 32,
    SAMPLES = 200
};

static char *patterns[] = {(char *)"a-*", NULL};
static const struct pool pool = {.name = (char *)"pool",
                                 .endpoints = patterns};

struct fleet {
    struct members *members;
    struct member list[NODES];
    char names[NODES][NAME_BYTES];
    uint32_t unavailable;
    GRand *rand;
};

static void
on_unavailable(void *context, uint32_t node)
{
    struct fleet *fleet = context;

    (void)node;
    fleet->unavailable++;
}

static struct fleet *
create_fleet(void)
{
    static const struct members_ops ops = {on_unavailable};
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
    uint32_t nodes[MAX_CANDIDATES];

    g_assert_cmpuint(members_choose(fleet->members, &pool, affinity,
                                    fleet->rand, now_ms, nodes,
                                    MAX_CANDIDATES),
                     >, 0);
    return nodes[0];
}

/* The candidates are distinct and spread over all nodes, and the own data
   centre is preferred. */
static void
test_spread(void)
{
    struct fleet *fleet = create_fleet();
    uint32_t chosen[NODES] = {0};
    uint32_t near = 0;

    for (int round = 0; round < ROUNDS; round++) {
        uint32_t nodes[MAX_CANDIDATES];
        size_t count = members_choose(fleet->members, &pool, 0, fleet->rand, 0,
                                      nodes, MAX_CANDIDATES);

        g_assert_cmpuint(count, ==, MAX_CANDIDATES);
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

/* Prompts with the same prefix get the same first candidate. When an instance
   starts draining, only prompts placed there move. */
static void
test_affinity(void)
{
    struct fleet *fleet = create_fleet();
    uint32_t before[SAMPLES];
    uint32_t moved = 0;

    for (uint64_t i = 0; i < SAMPLES; i++) {
        before[i] = first_choice(fleet, i + 1, 0);
        g_assert_cmpuint(first_choice(fleet, i + 1, 0), ==, before[i]);
    }
    fleet->list[5].draining = true;
    members_update(fleet->members, fleet->list, NODES);
    g_assert_cmpuint(fleet->unavailable, ==, 1);
    for (uint64_t i = 0; i < SAMPLES; i++) {
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

/* A node with three failures in a row is ejected: it is not the first
   candidate during the ejection, and is again some time after it. */
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

/* An empty list is ignored, since it more likely comes from a fault of the
   platform. An instance that is missing from a list counts as draining. */
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
    g_assert_cmpuint(fleet->unavailable, ==, 1);
    destroy_fleet(fleet);
}

/* Each agent is assigned to two entries. When an entry leaves, only its agents
   get another one. */
static void
test_entry_assignment(void)
{
    const char *entries[] = {"e-0", "e-1", "e-2", "e-3", "e-4", "e-5"};
    uint32_t changed = 0;

    for (int agent = 0; agent < SAMPLES; agent++) {
        char name[NAME_BYTES];
        uint32_t selected_count = 0;

        snprintf(name, sizeof(name), "a-%d", agent);
        for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
            bool selected = rendezvous_is_selected(name, entries[i], entries,
                                                   G_N_ELEMENTS(entries));
            bool selected_without_e5 =
                rendezvous_is_selected(name, entries[i], entries, 5);

            selected_count += selected;
            if (i < 5 && selected != selected_without_e5) {
                g_assert_true(selected_without_e5);
                g_assert_true(rendezvous_is_selected(name, "e-5", entries, 6));
                changed++;
            }
        }
        g_assert_cmpuint(selected_count, ==, RENDEZVOUS_ENTRIES_PER_AGENT);
    }
    g_assert_cmpuint(changed, >, 0);
}

/* A prompt of 5000 bytes has prefixes of 1, 2 and 4 blocks of 1024 bytes;
   hashes[0] is that of the longest. Prompts share the hashes of the prefixes
   that they have in common. */
static void
test_prefixes(void)
{
    char *first = g_strnfill(5000, 'a');
    char *second = g_strnfill(5000, 'a');
    uint64_t hashes[16];
    uint64_t other_hashes[16];
    struct prefix_cache *cache = prefix_cache_create(8192);
    uint32_t count;

    second[4500] = 'b';
    count = prefix_hashes(first, 5000, hashes, 16);
    g_assert_cmpuint(count, ==, 3);
    g_assert_cmpuint(prefix_hashes(second, 5000, other_hashes, 16), ==, 3);
    g_assert_cmpuint(hashes[0], ==, other_hashes[0]);
    second[3000] = 'b';
    prefix_hashes(second, 5000, other_hashes, 16);
    g_assert_cmpuint(hashes[0], !=, other_hashes[0]);
    g_assert_cmpuint(hashes[1], ==, other_hashes[1]);
    g_assert_cmpuint(prefix_affinity(hashes, count), ==,
                     prefix_affinity(other_hashes, count));
    prefix_cache_add(cache, hashes, count);
    g_assert_cmpuint(prefix_cache_lookup(cache, hashes, count), ==, 4096);
    g_assert_cmpuint(prefix_cache_lookup(cache, other_hashes, count), ==,
                     2048);
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
    g_test_add_func("/choice/entries", test_entry_assignment);
    g_test_add_func("/choice/prefixes", test_prefixes);
    return g_test_run();
}
