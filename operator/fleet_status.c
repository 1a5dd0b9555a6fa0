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
    ASK_MS = 2000,
    ASK_S = 2,
    MAX_HEALTH_BYTES = 4096
};

struct inquiry {
    struct loop *loop;
    uint32_t open;
};

struct question {
    struct inquiry *inquiry;
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
finish_question(struct question *question)
{
    if (question->link != NULL) {
        link_destroy(question->link);
        question->link = NULL;
        if (--question->inquiry->open == 0) {
            loop_stop(question->inquiry->loop);
        }
    }
}

static void
on_up(void *data, struct link *link, const struct message *hello)
{
    struct question *question = data;

    question->status->reached = true;
    question->status->generation = hello->generation;
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
    finish_question(data);
}

static void
on_time_up(void *data, uint64_t now_ms)
{
    struct inquiry *inquiry = data;

    (void)now_ms;
    loop_stop(inquiry->loop);
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
ask_agents(const struct member *list, size_t count, GPtrArray *processes)
{
    static const struct link_handlers handlers = {on_up, on_message, on_down};
    /* The highest generation: nobody passes us a configuration. */
    const struct link_identity identity = {"operator", "operator", 1,
                                           UINT64_MAX};
    struct inquiry inquiry = {loop_create(), 0};
    struct question *questions = g_new0(struct question, count);
    struct loop_timer *timer =
        loop_timer_create(inquiry.loop, on_time_up, &inquiry);

    for (size_t i = 0; i < count; i++) {
        questions[i].inquiry = &inquiry;
        questions[i].status = add_status(processes, &list[i], "agent");
        questions[i].link =
            link_connect(inquiry.loop, list[i].ip, list[i].port, &identity,
                         &handlers, &questions[i]);
        inquiry.open += questions[i].link != NULL;
    }
    loop_timer_arm(timer, loop_now_ms(inquiry.loop) + ASK_MS);
    if (inquiry.open > 0) {
        loop_run(inquiry.loop);
    }
    for (size_t i = 0; i < count; i++) {
        finish_question(&questions[i]);
    }
    loop_timer_destroy(timer);
    loop_destroy(inquiry.loop);
    g_free(questions);
}

static void
ask_entry(const struct member *member, struct process_status *status)
{
    struct http_session *session =
        http_session_create(member->ip, member->port, false);
    const struct http_request request = {.method = "GET", .path = "/healthz"};
    GByteArray *body = g_byte_array_new();
    json_int_t generation = 0;
    json_t *json;

    http_session_set_timeouts(session, ASK_S, ASK_S);
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
    ask_agents(list, count, processes);
    store_members_free(list, count);
    if (!store_get_members(store, options->entry_service, 0, 0, &list, &count,
                           &index, error)) {
        g_ptr_array_free(processes, TRUE);
        return NULL;
    }
    for (size_t i = 0; i < count; i++) {
        ask_entry(&list[i], add_status(processes, &list[i], "entry"));
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
    }
}
