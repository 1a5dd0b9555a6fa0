#include "core/members.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "core/config.h"

enum {
    FAILURES_TO_EJECT = 3,
    BASE_EJECTION_MS = 1000,
    MAX_EJECTION_MS = 60000,
    /* BASE_EJECTION_MS shifted by this exceeds MAX_EJECTION_MS. */
    MAX_EJECTION_SHIFT = 6,
    /* Time in which a node's share of the requests grows back to the full one
       after an ejection has ended. */
    SLOW_START_MS = 10000,
};

/* A candidate's score is a random number from 0 to 1 plus these penalties;
   the lowest score is the best. The slow start penalty falls to 0 within
   SLOW_START_MS. */
static const double remote_penalty = 0.5;
static const double slow_start_penalty = 2.0;
static const double ejected_penalty = 4.0;

struct node {
    struct member member;
    bool listed;        /* is in the latest list, or was added since */
    uint32_t failures;  /* since the last success or ejection */
    uint32_t ejections; /* since the last success */
    uint64_t ejected_until_ms;
    uint64_t load_tokens;
};

struct pool_nodes {
    uint64_t generation;
    GArray *nodes; /* uint32_t */
};

struct members {
    char *own_data_centre;
    enum members_policy policy;
    struct members_ops ops;
    void *context;
    GPtrArray *nodes;    /* struct node */
    GHashTable *by_name; /* instance to node number + 1 */
    GHashTable *by_pool; /* pool name to struct pool_nodes */
    uint64_t generation;
};

static void
node_free(gpointer data)
{
    struct node *node = data;

    g_free(node->member.instance);
    g_free(node->member.data_centre);
    g_free(node->member.ip);
    g_free(node);
}

static void
pool_nodes_free(gpointer data)
{
    struct pool_nodes *nodes = data;

    g_array_unref(nodes->nodes);
    g_free(nodes);
}

struct members *
members_create(const char *own_data_centre, enum members_policy policy,
               const struct members_ops *ops, void *context)
{
    struct members *members = g_new0(struct members, 1);

    members->own_data_centre = g_strdup(own_data_centre);
    members->policy = policy;
    members->ops = *ops;
    members->context = context;
    members->nodes = g_ptr_array_new_with_free_func(node_free);
    members->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    members->by_pool = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             pool_nodes_free);
    return members;
}

void
members_destroy(struct members *members)
{
    if (members == NULL) {
        return;
    }
    g_hash_table_destroy(members->by_pool);
    g_hash_table_destroy(members->by_name);
    g_ptr_array_free(members->nodes, TRUE);
    g_free(members->own_data_centre);
    g_free(members);
}

static struct node *
node_at(const struct members *members, uint32_t number)
{
    if (number >= members->nodes->len) {
        return NULL;
    }
    return g_ptr_array_index(members->nodes, number);
}

bool
members_find(const struct members *members, const char *instance,
             uint32_t *number)
{
    gpointer found = g_hash_table_lookup(members->by_name, instance);

    if (found == NULL) {
        return false;
    }
    *number = GPOINTER_TO_UINT(found) - 1;
    return true;
}

const struct member *
members_get(const struct members *members, uint32_t number)
{
    const struct node *node = node_at(members, number);

    return node != NULL ? &node->member : NULL;
}

uint32_t
members_count(const struct members *members)
{
    return members->nodes->len;
}

static void
add_node(struct members *members, const struct member *member)
{
    struct node *node = g_new0(struct node, 1);

    node->member.instance = g_strdup(member->instance);
    node->member.data_centre = g_strdup(member->data_centre);
    node->member.ip = g_strdup(member->ip);
    node->member.port = member->port;
    node->member.draining = member->draining;
    node->listed = true;
    g_ptr_array_add(members->nodes, node);
    g_hash_table_insert(members->by_name, node->member.instance,
                        GUINT_TO_POINTER(members->nodes->len));
}

static bool
member_equal(const struct member *a, const struct member *b)
{
    return a->port == b->port && a->draining == b->draining &&
           strcmp(a->ip, b->ip) == 0 &&
           strcmp(a->data_centre, b->data_centre) == 0;
}

/* An instance may have a new address after a restart. Its failures and
   ejections are then cleared. */
static void
update_node(struct members *members, uint32_t number,
            const struct member *member)
{
    struct node *node = node_at(members, number);
    bool moved = strcmp(node->member.ip, member->ip) != 0 ||
                 node->member.port != member->port;

    if (moved) {
        node->failures = 0;
        node->ejections = 0;
        node->ejected_until_ms = 0;
    }
    g_free(node->member.ip);
    g_free(node->member.data_centre);
    node->member.ip = g_strdup(member->ip);
    node->member.data_centre = g_strdup(member->data_centre);
    node->member.port = member->port;
    node->member.draining = member->draining;
    if (moved || member->draining) {
        members->ops.unavailable(members->context, number);
    }
}

static bool
update_member(struct members *members, const struct member *member,
              GHashTable *seen)
{
    uint32_t number;
    struct node *node;

    g_hash_table_add(seen, member->instance);
    if (!members_find(members, member->instance, &number)) {
        add_node(members, member);
        return true;
    }
    node = node_at(members, number);
    if (node->listed && member_equal(&node->member, member)) {
        return false;
    }
    node->listed = true;
    update_node(members, number, member);
    return true;
}

static size_t
drain_missing(struct members *members, GHashTable *seen)
{
    size_t changes = 0;

    for (uint32_t i = 0; i < members->nodes->len; i++) {
        struct node *node = node_at(members, i);

        if (node->listed &&
            !g_hash_table_contains(seen, node->member.instance)) {
            node->listed = false;
            node->member.draining = true;
            members->ops.unavailable(members->context, i);
            changes++;
        }
    }
    return changes;
}

size_t
members_update(struct members *members, const struct member *list,
               size_t count)
{
    GHashTable *seen;
    size_t changes = 0;

    if (count == 0) {
        return 0;
    }
    seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < count; i++) {
        if (update_member(members, &list[i], seen)) {
            changes++;
        }
    }
    changes += drain_missing(members, seen);
    g_hash_table_destroy(seen);
    if (changes > 0) {
        g_hash_table_remove_all(members->by_pool);
    }
    return changes;
}

void
members_add(struct members *members, const struct member *member)
{
    uint32_t number;

    if (!members_find(members, member->instance, &number)) {
        add_node(members, member);
        g_hash_table_remove_all(members->by_pool);
    }
}

void
members_set_generation(struct members *members, uint64_t generation)
{
    if (generation != members->generation) {
        members->generation = generation;
        g_hash_table_remove_all(members->by_pool);
    }
}

static GArray *
find_pool_nodes(struct members *members, const struct pool *pool)
{
    struct pool_nodes *found =
        g_hash_table_lookup(members->by_pool, pool->name);

    if (found != NULL) {
        return found->nodes;
    }
    found = g_new0(struct pool_nodes, 1);
    found->nodes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (uint32_t i = 0; i < members->nodes->len; i++) {
        const struct node *node = node_at(members, i);

        if (!node->member.draining &&
            config_pool_has_instance(pool, node->member.instance)) {
            g_array_append_val(found->nodes, i);
        }
    }
    g_hash_table_insert(members->by_pool, g_strdup(pool->name), found);
    return found->nodes;
}

static double
health_penalty(const struct node *node, uint64_t now_ms)
{
    uint64_t back_ms;

    if (node->ejected_until_ms == 0) {
        return 0;
    }
    if (now_ms < node->ejected_until_ms) {
        return ejected_penalty;
    }
    back_ms = now_ms - node->ejected_until_ms;
    if (back_ms >= SLOW_START_MS) {
        return 0;
    }
    return slow_start_penalty * (double)(SLOW_START_MS - back_ms) /
           SLOW_START_MS;
}

struct candidate {
    uint32_t node;
    double score;
};

static double
random_score(const struct members *members, const struct node *node,
             GRand *rand, uint64_t now_ms)
{
    double score = g_rand_double(rand) + health_penalty(node, now_ms);

    if (strcmp(node->member.data_centre, members->own_data_centre) != 0) {
        score += remote_penalty;
    }
    return score;
}

/* Inserts into the sorted array of the max candidates with the lowest scores.
   Returns its new length. */
static size_t
insert_candidate(struct candidate *best, size_t count, size_t max,
                 struct candidate candidate)
{
    size_t at = count < max ? count : max - 1;

    if (count == max && best[at].score <= candidate.score) {
        return count;
    }
    while (at > 0 && best[at - 1].score > candidate.score) {
        best[at] = best[at - 1];
        at--;
    }
    best[at] = candidate;
    return count < max ? count + 1 : max;
}

/* Selects by rendezvous hashing: each affinity hash has its own order of the
   nodes, which doesn't change when other nodes come or go. Skips nodes that
   are ejected or in slow start. */
static bool
affinity_node(const struct members *members, const GArray *nodes,
              uint64_t affinity, uint64_t now_ms, uint32_t *out)
{
    uint64_t best = 0;
    bool found = false;

    for (guint i = 0; i < nodes->len; i++) {
        uint32_t number = g_array_index(nodes, uint32_t, i);
        const struct node *node = node_at(members, number);
        uint64_t weight = XXH64(node->member.instance,
                                strlen(node->member.instance), affinity);

        if (health_penalty(node, now_ms) == 0 && (!found || weight > best)) {
            best = weight;
            *out = number;
            found = true;
        }
    }
    return found;
}

static uint32_t
random_node(const GArray *nodes, GRand *rand)
{
    return g_array_index(nodes, uint32_t,
                         (guint)g_rand_int_range(rand, 0, (gint32)nodes->len));
}

static uint32_t
less_loaded(const struct members *members, uint32_t first, uint32_t second)
{
    return node_at(members, second)->load_tokens <
                   node_at(members, first)->load_tokens
               ? second
               : first;
}

static uint32_t
baseline_node(const struct members *members, const GArray *nodes, GRand *rand)
{
    uint32_t node = random_node(nodes, rand);

    if (members->policy == MEMBERS_BEST_OF_TWO) {
        return less_loaded(members, node, random_node(nodes, rand));
    }
    if (members->policy == MEMBERS_LEAST_LOADED) {
        for (guint i = 0; i < nodes->len; i++) {
            node =
                less_loaded(members, node, g_array_index(nodes, uint32_t, i));
        }
    }
    return node;
}

size_t
members_choose(struct members *members, const struct pool *pool,
               uint64_t affinity, GRand *rand, uint64_t now_ms, uint32_t *out,
               size_t max)
{
    GArray *nodes = find_pool_nodes(members, pool);
    struct candidate *best = g_newa0(struct candidate, max + 1);
    uint32_t first;
    size_t count = 0;
    size_t filled = 0;

    if (members->policy != MEMBERS_LATE_BINDING && nodes->len > 0) {
        out[0] = baseline_node(members, nodes, rand);
        return 1;
    }
    for (guint i = 0; i < nodes->len; i++) {
        uint32_t number = g_array_index(nodes, uint32_t, i);
        struct candidate candidate = {number, 0};

        candidate.score =
            random_score(members, node_at(members, number), rand, now_ms);
        count = insert_candidate(best, count, max, candidate);
    }
    if (affinity != 0 && max > 0 &&
        affinity_node(members, nodes, affinity, now_ms, &first)) {
        out[filled++] = first;
    }
    for (size_t i = 0; i < count && filled < max; i++) {
        if (filled == 0 || best[i].node != out[0]) {
            out[filled++] = best[i].node;
        }
    }
    return filled;
}

void
members_record_failure(struct members *members, uint32_t number,
                       uint64_t now_ms)
{
    struct node *node = node_at(members, number);
    uint64_t ejection_ms;

    if (node == NULL || ++node->failures < FAILURES_TO_EJECT) {
        return;
    }
    ejection_ms = (uint64_t)BASE_EJECTION_MS
                  << MIN(node->ejections, MAX_EJECTION_SHIFT);
    node->ejected_until_ms = now_ms + MIN(ejection_ms, MAX_EJECTION_MS);
    node->ejections++;
    node->failures = 0;
}

void
members_record_success(struct members *members, uint32_t number)
{
    struct node *node = node_at(members, number);

    if (node != NULL) {
        node->failures = 0;
        node->ejections = 0;
    }
}

void
members_set_load(struct members *members, uint32_t number,
                 uint64_t load_tokens)
{
    struct node *node = node_at(members, number);

    if (node != NULL) {
        node->load_tokens = load_tokens;
    }
}
