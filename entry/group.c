#include "entry/group.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "core/config.h"
#include "core/members.h"
#include "entry/request.h"

enum {
    MAX_PARTS = 8,
    /* Share of an engine's memory that a part may take. The rest stays free
       for other requests. */
    MAX_PART_PERCENT = 90,
    PERCENT = 100,
    HTTP_OK = 200,
    RETRY_AFTER_MS = 1000,
};

struct hold {
    struct group *group;
    struct request *request; /* NULL: not started */
};

struct group {
    struct requests *requests;
    struct members *members;
    struct group_handlers handlers;
    void *data;
    char *account;
    char *pool;
    uint64_t part_tokens;
    uint32_t nodes[MAX_PARTS]; /* in the order of instance names */
    uint32_t count;
    uint32_t held_count; /* holds made, at the first nodes */
    struct hold holds[MAX_PARTS];
    GString *parts;
    uint32_t time_limit_ms;
    bool failed;
};

static uint32_t
parts_needed(const struct pool *pool, uint64_t need_tokens)
{
    uint64_t part = pool->memory_tokens / PERCENT * MAX_PART_PERCENT;

    if (need_tokens <= pool->memory_tokens || part == 0) {
        return 1;
    }
    return (uint32_t)MIN((need_tokens + part - 1) / part, MAX_PARTS + 1);
}

uint32_t
group_size(struct members *members, const struct pool *pool,
           uint64_t need_tokens, GRand *rand, uint64_t now_ms)
{
    uint32_t needed = parts_needed(pool, need_tokens);
    uint32_t nodes[MAX_PARTS];

    if (needed == 1) {
        return 1;
    }
    if (needed > MAX_PARTS || members_choose(members, pool, 0, rand, now_ms,
                                             nodes, needed) < needed) {
        return 0;
    }
    return needed;
}

static gint
compare_instances(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct members *members = data;
    const uint32_t *first = a;
    const uint32_t *second = b;

    return strcmp(members_get(members, *first)->instance,
                  members_get(members, *second)->instance);
}

static void
fail_group(struct group *group, enum reason reason, uint32_t retry_after_ms)
{
    if (!group->failed) {
        group->failed = true;
        group->handlers.failed(group->data, reason, retry_after_ms);
    }
}

static void start_next_hold(struct group *group);

static bool
on_may_retry(void *data)
{
    (void)data;
    return false;
}

static void
on_head(void *data, uint32_t status, const char *content_type)
{
    struct hold *hold = data;

    (void)content_type;
    if (status != HTTP_OK) {
        fail_group(hold->group, REASON_OVERLOADED, RETRY_AFTER_MS);
    }
}

static void
append_part(struct group *group, uint32_t index)
{
    const struct member *member =
        members_get(group->members, group->nodes[index]);
    struct request_id id = request_own_id(group->holds[index].request);

    g_string_append_printf(group->parts,
                           "%s%016" PRIx64 "-%" PRIu64 "@%s=%" PRIu64,
                           group->parts->len > 0 ? "," : "", id.incarnation,
                           id.counter, member->instance, group->part_tokens);
}

/* The first bytes of the response confirm that the engine holds the memory. */
static void
on_bytes(void *data, const uint8_t *bytes, size_t count)
{
    struct hold *hold = data;
    struct group *group = hold->group;
    uint32_t index = (uint32_t)(hold - group->holds);

    (void)bytes;
    (void)count;
    if (group->failed || index != group->held_count) {
        return;
    }
    append_part(group, index);
    group->held_count++;
    start_next_hold(group);
}

static void
on_restart(void *data)
{
    (void)data;
}

/* A hold that ends was refused or lost, also if its response is complete. */
static void
on_finish(void *data, const struct binding_result *result)
{
    struct hold *hold = data;

    fail_group(hold->group,
               result->reason == REASON_NONE ? REASON_ENDPOINT_FAILED
                                             : result->reason,
               result->retry_after_ms);
}

static void
start_hold(struct group *group, uint32_t index)
{
    static const struct request_handlers handlers = {.may_retry = on_may_retry,
                                                     .head = on_head,
                                                     .bytes = on_bytes,
                                                     .restart = on_restart,
                                                     .finish = on_finish};
    char *text =
        g_strdup_printf("{\"tokens\":%" PRIu64 "}", group->part_tokens);
    GBytes *body = g_bytes_new_take(text, strlen(text));
    const struct request_spec spec = {.work_class = WORK_HOLD,
                                      .repeatable = true,
                                      .streamed = true,
                                      .time_limit_ms = group->time_limit_ms,
                                      .account = group->account,
                                      .pool = group->pool,
                                      .memory_tokens = group->part_tokens,
                                      .has_fixed_node = true,
                                      .fixed_node = group->nodes[index],
                                      .method = "POST",
                                      .path = "/v1/memory/holds",
                                      .content_type = "application/json",
                                      .body = body};
    struct hold *hold = &group->holds[index];

    hold->group = group;
    hold->request = request_create(group->requests, &spec, &handlers, hold);
    g_bytes_unref(body);
    request_start(hold->request);
}

static void
start_next_hold(struct group *group)
{
    if (group->held_count + 1 < group->count) {
        start_hold(group, group->held_count);
        return;
    }
    group->handlers.ready(group->data, group->nodes[group->count - 1],
                          group->part_tokens, group->parts->str);
}

struct group *
group_create(struct requests *requests, struct members *members,
             const struct pool *pool, GRand *rand,
             const struct group_spec *spec,
             const struct group_handlers *handlers, void *data)
{
    struct group *group = g_new0(struct group, 1);

    group->requests = requests;
    group->members = members;
    group->handlers = *handlers;
    group->data = data;
    group->account = g_strdup(spec->account);
    group->pool = g_strdup(pool->name);
    group->time_limit_ms = spec->time_limit_ms;
    group->parts = g_string_new(NULL);
    group->count = parts_needed(pool, spec->need_tokens);
    group->count = (uint32_t)members_choose(
        members, pool, 0, rand, spec->now_ms, group->nodes, group->count);
    group->part_tokens = (spec->need_tokens + group->count - 1) / group->count;
    g_qsort_with_data(group->nodes, (gint)group->count, sizeof(uint32_t),
                      compare_instances, members);
    start_next_hold(group);
    return group;
}

void
group_destroy(struct group *group)
{
    if (group == NULL) {
        return;
    }
    group->failed = true;
    for (uint32_t i = 0; i < group->count; i++) {
        request_destroy(group->holds[i].request);
    }
    g_string_free(group->parts, TRUE);
    g_free(group->account);
    g_free(group->pool);
    g_free(group);
}
