#include "operator/fleet_status.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "core/members.h"
#include "core/message.h"
#include "io/http_call.h"
#include "io/link.h"
#include "io/loop.h"
#include "io/store.h"

enum {
    AGENTS_TIMEOUT_MS = 2000,
    ENTRY_TIMEOUT_S = 2,
    MAX_HEALTH_BYTES = 4096
};

/* Queries that are sent to all agents at the same time. */
struct query_batch {
    struct loop *loop;
    uint32_t pending;
};

struct agent_query {
    struct query_batch *batch;
    struct process_status *status;
    struct link *link;
};

static void
free_status(gpointer data)
{
    struct process_status *status = data;

    g_free(status->instance);
    g_free(status);
}

static void
finish_query(struct agent_query *query)
{
    if (query->link != NULL) {
        link_destroy(query->link);
        query->link = NULL;
        if (--query->batch->pending == 0) {
            loop_stop(query->batch->loop);
        }
    }
}

static void
on_up(void *data, struct link *link, const struct message *hello)
{
    struct agent_query *query = data;

    query->status->reached = true;
    query->status->generation = hello->generation;
    link_close(link, "answered");
}

static void
on_message(void *data, struct link *link, const struct message *message)
{
    (void)data;
    (void)link;
    (void)message;
}

static void
on_down(void *data, struct link *link, const char *why)
{
    (void)link;
    (void)why;
    finish_query(data);
}

static void
on_timeout(void *data, uint64_t now_ms)
{
    struct query_batch *batch = data;

    (void)now_ms;
    loop_stop(batch->loop);
}

static struct process_status *
add_status(GPtrArray *processes, const struct member *member, const char *role)
{
    struct process_status *status = g_new0(struct process_status, 1);

    status->instance = g_strdup(member->instance);
    status->role = role;
    g_ptr_array_add(processes, status);
    return status;
}

static void
query_agents(const struct member *list, size_t count, GPtrArray *processes)
{
    static const struct link_handlers handlers = {on_up, on_message, on_down};
    /* An agent sends its configuration to a peer whose generation is lower.
       The highest generation prevents that. */
    const struct link_identity identity = {"operator", "operator", 1,
                                           UINT64_MAX};
    struct query_batch batch = {loop_create(), 0};
    struct agent_query *queries = g_new0(struct agent_query, count);
    struct loop_timer *timer =
        loop_timer_create(batch.loop, on_timeout, &batch);

    for (size_t i = 0; i < count; i++) {
        queries[i].batch = &batch;
        queries[i].status = add_status(processes, &list[i], "agent");
        queries[i].link = link_connect(batch.loop, list[i].ip, list[i].port,
                                       &identity, &handlers, &queries[i]);
        batch.pending += queries[i].link != NULL;
    }
    loop_timer_arm(timer, loop_now_ms(batch.loop) + AGENTS_TIMEOUT_MS);
    if (batch.pending > 0) {
        loop_run(batch.loop);
    }
    for (size_t i = 0; i < count; i++) {
        finish_query(&queries[i]);
    }
    loop_timer_destroy(timer);
    loop_destroy(batch.loop);
    g_free(queries);
}

static void
query_entry(const struct member *member, struct process_status *status)
{
    struct http_session *session =
        http_session_create(member->ip, member->port, false);
    const struct http_request request = {.method = "GET", .path = "/healthz"};
    GByteArray *body = g_byte_array_new();
    json_int_t generation = 0;
    json_t *json;

    http_session_set_timeouts(session, ENTRY_TIMEOUT_S, ENTRY_TIMEOUT_S,
                              ENTRY_TIMEOUT_S);
    if (http_call_fetch(session, &request, body, MAX_HEALTH_BYTES, NULL) !=
        0) {
        json = json_loadb((const char *)body->data, body->len, 0, NULL);
        status->reached =
            json_unpack(json, "{s:I}", "generation", &generation) == 0;
        status->generation = (uint64_t)generation;
        json_decref(json);
    }
    g_byte_array_unref(body);
    http_session_destroy(session);
}

GPtrArray *
fleet_status_read(const struct options *options, struct store *store,
                  GError **error)
{
    GPtrArray *processes = g_ptr_array_new_with_free_func(free_status);
    struct member *list;
    size_t count;
    uint64_t index;

    if (!store_get_members(store, options->agent_service, 0, 0, &list, &count,
                           &index, error)) {
        g_ptr_array_free(processes, TRUE);
        return NULL;
    }
    query_agents(list, count, processes);
    store_members_free(list, count);
    if (!store_get_members(store, options->entry_service, 0, 0, &list, &count,
                           &index, error)) {
        g_ptr_array_free(processes, TRUE);
        return NULL;
    }
    for (size_t i = 0; i < count; i++) {
        query_entry(&list[i], add_status(processes, &list[i], "entry"));
    }
    store_members_free(list, count);
    return processes;
}

uint32_t
fleet_status_count(const GPtrArray *processes, uint64_t generation)
{
    uint32_t count = 0;

    for (guint i = 0; i < processes->len; i++) {
        const struct process_status *status = g_ptr_array_index(processes, i);

        count += status->reached && status->generation >= generation;
    }
    return count;
}

uint64_t
fleet_status_latest(const GPtrArray *processes)
{
    uint64_t latest = 0;

    for (guint i = 0; i < processes->len; i++) {
        const struct process_status *status = g_ptr_array_index(processes, i);

        latest = MAX(latest, status->generation);
    }
    return latest;
}

static void
print_json(const GPtrArray *processes, uint64_t generation)
{
    json_t *list = json_array();
    json_t *json;

    for (guint i = 0; i < processes->len; i++) {
        const struct process_status *status = g_ptr_array_index(processes, i);

        json_array_append_new(list, json_pack("{s:s, s:s, s:b, s:I}",
                                              "instance", status->instance,
                                              "role", status->role, "reached",
                                              status->reached, "generation",
                                              (json_int_t)status->generation));
    }
    json = json_pack("{s:I, s:o}", "generation", (json_int_t)generation,
                     "processes", list);
    json_dumpf(json, stdout, JSON_INDENT(2));
    printf("\n");
    json_decref(json);
}

void
fleet_status_print(const GPtrArray *processes, uint64_t generation, bool json)
{
    if (json) {
        print_json(processes, generation);
        return;
    }
    printf("generation %" PRIu64 " is in force at %u of %u processes\n",
           generation, fleet_status_count(processes, generation),
           processes->len);
    for (guint i = 0; i < processes->len; i++) {
        const struct process_status *status = g_ptr_array_index(processes, i);

        if (!status->reached) {
            printf("  %s %s can't be reached\n", status->role,
                   status->instance);
        }
        else if (status->generation < generation) {
            printf("  %s %s has generation %" PRIu64 "\n", status->role,
                   status->instance, status->generation);
        }
        else if (status->generation > generation) {
            printf("  %s %s has generation %" PRIu64
                   ", which the store lacks\n",
                   status->role, status->instance, status->generation);
        }
    }
}
