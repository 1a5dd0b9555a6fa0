#include "core/work.h"

#include <string.h>

#include "core/dispatch.h"
#include "core/response_buffer.h"

struct work *
work_create(const struct message *reserve, uint64_t link, uint64_t now_ms)
{
    struct work *work = g_new0(struct work, 1);

    work->id = reserve->id;
    work->attempt = reserve->attempt;
    work->links = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    work->class = (enum work_class)reserve->work_class;
    work->repeatable = reserve->repeatable != 0;
    g_strlcpy(work->account, reserve->account, sizeof(work->account));
    work->prompt_tokens = reserve->prompt_tokens;
    work->max_tokens = reserve->max_tokens;
    work->memory_tokens = reserve->memory_tokens;
    memcpy(work->prefixes, reserve->prefixes, sizeof(work->prefixes));
    work->prefix_count = reserve->prefix_count;
    work->arrived_ms = now_ms;
    work->deadline_ms = now_ms + reserve->budget_ms;
    work_add_link(work, link);
    return work;
}

void
work_destroy(struct work *work)
{
    work_free_request(work);
    g_array_unref(work->links);
    response_buffer_destroy(work->response);
    g_free(work);
}

void
work_set_grant(struct work *work, const struct message *grant, uint64_t now_ms)
{
    work->deadline_ms = now_ms + grant->budget_ms;
    work->method = g_strdup(grant->method);
    work->path = g_strdup(grant->path);
    work->content_type = g_strdup(grant->content_type);
    work->memory_parts = g_strdup(grant->memory_parts);
    work->body = g_byte_array_new();
    work->body_bytes = grant->body_bytes;
    work->response = response_buffer_create();
}

void
work_free_request(struct work *work)
{
    g_clear_pointer(&work->method, g_free);
    g_clear_pointer(&work->path, g_free);
    g_clear_pointer(&work->content_type, g_free);
    g_clear_pointer(&work->memory_parts, g_free);
    g_clear_pointer(&work->body, g_byte_array_unref);
}

bool
work_has_link(const struct work *work, uint64_t link)
{
    for (guint i = 0; i < work->links->len; i++) {
        if (g_array_index(work->links, uint64_t, i) == link) {
            return true;
        }
    }
    return false;
}

void
work_add_link(struct work *work, uint64_t link)
{
    if (link != 0 && !work_has_link(work, link)) {
        g_array_append_val(work->links, link);
    }
    work->detached_ms = 0;
}

void
work_remove_link(struct work *work, uint64_t link, uint64_t now_ms)
{
    for (guint i = 0; i < work->links->len; i++) {
        if (g_array_index(work->links, uint64_t, i) == link) {
            g_array_remove_index_fast(work->links, i);
            break;
        }
    }
    if (work->links->len == 0 && work->detached_ms == 0) {
        work->detached_ms = now_ms;
    }
}

struct request_id
work_id(const struct work *work)
{
    return work->id;
}

uint32_t
work_attempt(const struct work *work)
{
    return work->attempt;
}

enum work_class
work_class_of(const struct work *work)
{
    return work->class;
}

bool
work_repeatable(const struct work *work)
{
    return work->repeatable;
}

const char *
work_method(const struct work *work)
{
    return work->method;
}

const char *
work_path(const struct work *work)
{
    return work->path;
}

const char *
work_content_type(const struct work *work)
{
    return work->content_type;
}

const char *
work_memory_parts(const struct work *work)
{
    return work->memory_parts;
}

const uint8_t *
work_body(const struct work *work, size_t *bytes)
{
    *bytes = work->body->len;
    return work->body->data;
}

uint64_t
work_priority(const struct work *work)
{
    return work->order_ms;
}

uint64_t
work_deadline_ms(const struct work *work)
{
    return work->deadline_ms;
}

const uint64_t *
work_prefixes(const struct work *work, uint32_t *count)
{
    *count = work->prefix_count;
    return work->prefixes;
}

void
work_set_user_data(struct work *work, void *user_data)
{
    work->user_data = user_data;
}

void *
work_user_data(const struct work *work)
{
    return work->user_data;
}
