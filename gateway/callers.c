#include "gateway/callers.h"

#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/buffer_budget.h"
#include "core/bytes.h"
#include "gateway/caller_accept.h"
#include "gateway/caller_memory.h"
#include "gateway/caller_state.h"
#include "gateway/gateway_counters.h"
#include "io/http_connection.h"
#include "io/http_message.h"
#include "io/link.h"
#include "io/log.h"
#include "io/loop.h"

#define LOG_PART "callers"

enum {
    /* Limits before the first configuration: the usual defaults of HTTP
       servers. */
    DEFAULT_MAX_HEAD_BYTES = 16 * 1024,
    DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024,
    DEFAULT_HEAD_TIMEOUT_MS = 3000,
    DEFAULT_IDLE_TIMEOUT_MS = 15000,
    /* Least mean rate of a body, beyond the idle timeout: a slow one may take
       long, one that sends a byte now and then ends. */
    MIN_BODY_BYTES_PER_S = 1024,
    MS_PER_S = 1000,
    /* How long the rest of a request is read and dropped after an early
       response. Closing at once would make TCP reset the connection, and the
       caller could lose the response. */
    LINGER_MS = 1000,
    /* With a budget: what the kernel may hold unsent for a caller. */
    MAX_UNSENT_BYTES = 16 * 1024,
    /* When a caller is given up that does not take what is sent to it. One
       that answers no packet for 5 s has most likely left with its machine;
       one that answers may be busy. */
    MAX_SILENCE_MS = 5000,
    MAX_STALL_MS = 15000,
    MIN_READ_BYTES_PER_S = 1024,
};

/* When the bytes of the body so far are due, at the least rate. */
static uint64_t
body_due_ms(const struct caller *caller)
{
    return caller->body_started_ms +
           (uint64_t)caller->body->len * MS_PER_S / MIN_BODY_BYTES_PER_S;
}

static void
set_state(struct caller *caller, enum caller_state state)
{
    const struct catalog_limits *limits = &caller->callers->limits;
    uint64_t now_ms = loop_now_ms(caller->callers->loop);

    caller->state = state;
    switch (state) {
    case CALLER_IDLE:
        caller->idle_since_ms = now_ms;
        loop_timer_arm(caller->timer, now_ms + limits->idle_timeout_ms);
        break;
    case CALLER_HEAD:
        loop_timer_arm(caller->timer, now_ms + limits->head_timeout_ms);
        break;
    case CALLER_BODY:
        loop_timer_arm(caller->timer, MIN(now_ms, body_due_ms(caller)) +
                                          limits->idle_timeout_ms);
        break;
    case CALLER_LINGER:
        loop_timer_arm(caller->timer, now_ms + LINGER_MS);
        break;
    case CALLER_TAKING:
    case CALLER_WAITING:
    case CALLER_STREAMING:
    case CALLER_CLOSING:
        loop_timer_disarm(caller->timer);
        break;
    }
}

static void
end_exchange(struct caller *caller, bool aborted)
{
    void *exchange = caller->exchange;

    if (exchange != NULL) {
        caller->exchange = NULL;
        caller->callers->pending--;
        caller->callers->handlers.ended(exchange, aborted);
    }
    /* An idle connection holds no memory of its last request. */
    g_byte_array_unref(caller->body);
    caller->body = g_byte_array_new();
    caller->kept_bytes = 0;
    caller_memory_reserve(caller, 0);
    caller_memory_count(caller);
}

static void
free_caller(struct caller *caller)
{
    g_hash_table_remove(caller->callers->connections, caller);
    http_connection_destroy(caller->connection);
    loop_timer_destroy(caller->timer);
    buffer_account_destroy(caller->account);
    g_byte_array_unref(caller->body);
    g_free(caller);
}

/* Ends the connection when the caller has taken what was sent to it. */
static void
close_caller(struct caller *caller)
{
    if (caller->drops_queue) {
        free_caller(caller);
        return;
    }
    set_state(caller, CALLER_CLOSING);
    http_connection_finish(caller->connection);
}

static void
disconnect(struct caller *caller)
{
    end_exchange(caller, true);
    free_caller(caller);
}

static bool
is_between_requests(const struct caller *caller)
{
    return caller->state == CALLER_IDLE || caller->state == CALLER_TAKING;
}

bool
caller_note_request(struct caller *caller)
{
    /* It may be the caller's close. */
    if (!http_connection_is_stale(caller->connection)) {
        return false;
    }
    set_state(caller, CALLER_HEAD);
    return true;
}

void
caller_close_idle(struct caller *caller)
{
    free_caller(caller);
}

/* Whether a response that begins now leaves the connection open. */
static bool
stays_open(const struct caller *caller)
{
    return caller->keep_alive && caller->state != CALLER_BODY &&
           !caller->callers->draining;
}

static void
on_begun(void *data)
{
    struct caller *caller = data;

    if (is_between_requests(caller)) {
        set_state(caller, CALLER_HEAD);
    }
}

/* Responds with an error before the request was read to its end. */
static void
reject(struct caller *caller, const char *status_line)
{
    static const char rest[] =
        "Content-Length: 0\r\nConnection: close\r\n\r\n";

    http_connection_send(caller->connection, status_line, strlen(status_line));
    http_connection_send(caller->connection, rest, strlen(rest));
    set_state(caller, CALLER_LINGER);
}

static void
on_head(void *data, const struct http_head *head)
{
    struct caller *caller = data;
    struct callers *callers = caller->callers;

    caller->keep_alive = head->keep_alive;
    caller->head_only = strcmp(head->method, "HEAD") == 0;
    caller->body_started_ms = loop_now_ms(callers->loop);
    set_state(caller, CALLER_BODY);
    if (http_head_count(head, "Host") > 1) {
        reject(caller, "HTTP/1.1 400 Bad Request\r\n");
        return;
    }
    if (head->length_bytes > callers->limits.max_body_bytes) {
        reject(caller, "HTTP/1.1 413 Content Too Large\r\n");
        return;
    }
    /* For the connection to the endpoint. */
    caller_accept_make_room(callers);
    caller->exchange = callers->handlers.begin(callers->data, caller, head);
    callers->pending++;
    caller->reserved_bytes = head->length_bytes;
    if (head->length_bytes > 0) {
        caller_memory_take_body(caller, head->length_bytes);
    }
}

static void
on_body(void *data, const uint8_t *bytes, size_t count)
{
    struct caller *caller = data;

    if (caller->state != CALLER_BODY) {
        return;
    }
    if (caller->body->len + count > caller->callers->limits.max_body_bytes) {
        end_exchange(caller, false);
        reject(caller, "HTTP/1.1 413 Content Too Large\r\n");
        return;
    }
    if (!caller_memory_grow_body(caller, caller->body->len + count)) {
        return;
    }
    g_byte_array_append(caller->body, bytes, (guint)count);
    if (caller->account != NULL) {
        buffer_account_set_received(caller->account, caller->body->len, false);
    }
    set_state(caller, CALLER_BODY);
}

static void
on_complete(void *data)
{
    struct caller *caller = data;

    if (caller->state == CALLER_LINGER) {
        close_caller(caller);
        return;
    }
    if (caller->account != NULL) {
        buffer_account_set_received(caller->account, caller->body->len, true);
    }
    set_state(caller, CALLER_WAITING);
    caller->callers->handlers.request(caller->exchange, caller->body);
}

static void
on_ended(void *data, enum http_connection_end end)
{
    struct caller *caller = data;
    bool reading = caller->state == CALLER_HEAD || is_between_requests(caller);

    if (end == HTTP_CONNECTION_STALLED || end == HTTP_CONNECTION_SILENT) {
        gateway_counters_count(COUNT_READERS_STALLED);
    }
    /* A caller that sends nothing more may still read. */
    if (end == HTTP_CONNECTION_CLOSED && caller->exchange == NULL &&
        !http_connection_is_taken(caller->connection)) {
        close_caller(caller);
        return;
    }
    if (end == HTTP_CONNECTION_HEAD_TOO_BIG && reading) {
        reject(caller, "HTTP/1.1 431 Request Header Fields Too Large\r\n");
        return;
    }
    if (end == HTTP_CONNECTION_BAD_MESSAGE && reading) {
        reject(caller, "HTTP/1.1 400 Bad Request\r\n");
        return;
    }
    disconnect(caller);
}

static void
on_all_sent(void *data)
{
    struct caller *caller = data;

    caller_memory_count(caller);
    if (caller->exchange != NULL && caller->state == CALLER_STREAMING) {
        caller->callers->handlers.all_sent(caller->exchange);
    }
}

/* The idle time begins when the caller has the response: what is queued for
   one that reads slowly used to be dropped by it. */
static void
on_taken(void *data)
{
    struct caller *caller = data;

    if (caller->state == CALLER_TAKING) {
        set_state(caller, CALLER_IDLE);
    }
    else if (caller->state == CALLER_CLOSING) {
        free_caller(caller);
    }
}

static void
on_timer(void *data, uint64_t now_ms)
{
    struct caller *caller = data;

    (void)now_ms;
    if (caller->state == CALLER_HEAD || caller->state == CALLER_BODY) {
        end_exchange(caller, true);
        reject(caller, "HTTP/1.1 408 Request Timeout\r\n");
        return;
    }
    close_caller(caller);
}

static const struct http_connection_handlers connection_handlers = {
    .begun = on_begun,
    .head = on_head,
    .body = on_body,
    .complete = on_complete,
    .ended = on_ended,
    .all_sent = on_all_sent,
    .taken = on_taken,
};

void
caller_open(struct callers *callers, int fd)
{
    bool bounded =
        callers->budget != NULL && buffer_budget_is_bounded(callers->budget);
    const struct http_connection_settings settings = {
        .max_head_bytes = callers->limits.max_head_bytes,
        .peer = {.max_silence_ms = MAX_SILENCE_MS,
                 .max_stall_ms = MAX_STALL_MS,
                 .min_bytes_per_s = MIN_READ_BYTES_PER_S},
        .max_unsent_bytes = bounded ? MAX_UNSENT_BYTES : 0};
    struct caller *caller = g_new0(struct caller, 1);

    caller->callers = callers;
    caller->connection = http_connection_accept(callers->loop, fd, &settings,
                                                &connection_handlers, caller);
    if (caller->connection == NULL) {
        g_free(caller);
        return;
    }
    caller->body = g_byte_array_new();
    if (callers->budget != NULL) {
        caller->account = buffer_account_create(callers->budget, caller);
    }
    caller->timer = loop_timer_create(callers->loop, on_timer, caller);
    g_hash_table_add(callers->connections, caller);
    set_state(caller, CALLER_IDLE);
}

struct callers *
callers_create(struct loop *loop, const char *ip, uint16_t port,
               const struct callers_handlers *handlers, void *data)
{
    struct callers *callers;
    int fd = link_listen(ip, port);

    if (fd < 0) {
        return NULL;
    }
    callers = g_new0(struct callers, 1);
    callers->loop = loop;
    callers->listen_fd = fd;
    callers->handlers = *handlers;
    callers->data = data;
    callers->limits =
        (struct catalog_limits){.max_head_bytes = DEFAULT_MAX_HEAD_BYTES,
                                .max_body_bytes = DEFAULT_MAX_BODY_BYTES,
                                .head_timeout_ms = DEFAULT_HEAD_TIMEOUT_MS,
                                .idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS};
    callers->connections = g_hash_table_new(NULL, NULL);
    if (!caller_accept_start(callers)) {
        callers_destroy(callers);
        return NULL;
    }
    return callers;
}

void
callers_set_max_connections(struct callers *callers, uint32_t max)
{
    callers->max_connections = max;
}

void
callers_set_budget(struct callers *callers, struct buffer_budget *budget)
{
    callers->budget = budget;
}

/* Frees the memory at once, without a wait for the caller to take the rest. */
static void
end_excess(struct caller *caller)
{
    gateway_counters_count(COUNT_READERS_ENDED);
    caller->drops_queue = true;
    if (caller->exchange != NULL) {
        caller_give_up(caller, "the caller does not read");
        return;
    }
    free_caller(caller);
}

uint32_t
callers_check_memory(struct callers *callers)
{
    uint64_t now_ms = loop_now_ms(callers->loop);
    uint32_t behind = 0;
    struct buffer_account *excess;
    GHashTableIter iter;
    gpointer value;

    if (callers->budget == NULL) {
        return 0;
    }
    g_hash_table_iter_init(&iter, callers->connections);
    while (g_hash_table_iter_next(&iter, &value, NULL)) {
        behind += caller_memory_count_kernel(value) ? 1 : 0;
    }
    while ((excess = buffer_budget_excess(callers->budget, now_ms)) != NULL) {
        end_excess(buffer_account_owner(excess));
    }
    return behind;
}

void
callers_destroy(struct callers *callers)
{
    GHashTableIter iter;
    gpointer value;

    if (callers == NULL) {
        return;
    }
    caller_accept_stop(callers);
    g_hash_table_iter_init(&iter, callers->connections);
    while (g_hash_table_iter_next(&iter, &value, NULL)) {
        disconnect(value);
        g_hash_table_iter_init(&iter, callers->connections);
    }
    g_hash_table_destroy(callers->connections);
    loop_timer_destroy(callers->accept_timer);
    g_free(callers);
}

uint16_t
callers_port(const struct callers *callers)
{
    struct sockaddr_in address = {0};
    socklen_t length = sizeof(address);

    if (getsockname(callers->listen_fd, (struct sockaddr *)&address,
                    &length) != 0) {
        return 0;
    }
    return ntohs(address.sin_port);
}

void
callers_set_limits(struct callers *callers,
                   const struct catalog_limits *limits)
{
    callers->limits = *limits;
}

void
callers_drain(struct callers *callers)
{
    callers->draining = true;
}

void
callers_close(struct callers *callers)
{
    GHashTableIter iter;
    gpointer value;
    GPtrArray *idle = g_ptr_array_new();

    /* The kernel has accepted these, and their requests may be there. */
    while (callers->listen_fd >= 0 && caller_accept_waiting(callers)) {
    }
    caller_accept_stop(callers);
    g_hash_table_iter_init(&iter, callers->connections);
    while (g_hash_table_iter_next(&iter, &value, NULL)) {
        struct caller *caller = value;

        if (is_between_requests(caller) && !caller_note_request(caller)) {
            g_ptr_array_add(idle, caller);
        }
    }
    for (guint i = 0; i < idle->len; i++) {
        close_caller(g_ptr_array_index(idle, i));
    }
    g_ptr_array_free(idle, TRUE);
}

static void
stop_caller(struct caller *caller)
{
    if (caller->exchange != NULL) {
        caller->callers->handlers.stop(caller->exchange);
    }
    else if (caller->state == CALLER_HEAD) {
        reject(caller, "HTTP/1.1 503 Service Unavailable\r\n");
    }
    else if (is_between_requests(caller)) {
        close_caller(caller);
    }
}

void
callers_stop(struct callers *callers)
{
    GPtrArray *open = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, callers->connections);
    while (g_hash_table_iter_next(&iter, &value, NULL)) {
        g_ptr_array_add(open, value);
    }
    for (guint i = 0; i < open->len; i++) {
        stop_caller(g_ptr_array_index(open, i));
    }
    g_ptr_array_free(open, TRUE);
}

uint32_t
callers_pending(const struct callers *callers)
{
    return callers->pending;
}

bool
callers_are_idle(const struct callers *callers)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, callers->connections);
    while (g_hash_table_iter_next(&iter, &value, NULL)) {
        if (((struct caller *)value)->state != CALLER_IDLE) {
            return false;
        }
    }
    return true;
}

uint32_t
callers_connections(const struct callers *callers)
{
    return g_hash_table_size(callers->connections);
}

/* Responses. */

/* Keeps the connection for the next request or closes it. Once the server has
   stopped listening, it is closed even if the response's head kept it open. */
static void
finish_response(struct caller *caller, bool open)
{
    bool listening = caller->callers->listen_fd >= 0;
    bool early = caller->state == CALLER_BODY;

    end_exchange(caller, false);
    if (early && !caller->drops_queue) {
        set_state(caller, CALLER_LINGER);
        return;
    }
    if (!open || !listening || caller->drops_queue) {
        close_caller(caller);
        return;
    }
    caller_memory_count(caller);
    set_state(caller, CALLER_TAKING);
    http_connection_next(caller->connection, false);
}

/* Begins the message with the response's head. */
static GByteArray *
begin_message(const struct caller *caller,
              const struct caller_response *response,
              struct response_framing_facts *facts, bool open,
              struct response_framing *framing)
{
    GByteArray *message = g_byte_array_sized_new(
        (guint)(response->head->len + facts->body_bytes) + 64);

    facts->head_only = caller->head_only;
    facts->status = response->status;
    facts->has_length = response->has_length;
    facts->length_bytes = response->length_bytes;
    g_byte_array_append(message, response->head->data, response->head->len);
    response_framing_begin(framing, facts, message);
    bytes_add_text(message, open ? "\r\n" : "Connection: close\r\n\r\n");
    return message;
}

static void
send_message(struct caller *caller, GByteArray *message)
{
    http_connection_send(caller->connection, message->data, message->len);
    g_byte_array_unref(message);
}

void
caller_send_response(struct caller *caller,
                     const struct caller_response *response, const void *body,
                     size_t count)
{
    struct response_framing_facts facts = {.body_bytes = count};
    struct response_framing framing;
    bool open = stays_open(caller);
    GByteArray *message =
        begin_message(caller, response, &facts, open, &framing);

    /* One send for the complete response. */
    response_framing_add(&framing, body, count, message);
    open = response_framing_end(&framing, true, message) && open;
    send_message(caller, message);
    finish_response(caller, open);
}

void
caller_stream_begin(struct caller *caller,
                    const struct caller_response *response)
{
    struct response_framing_facts facts = {.is_stream = true};

    set_state(caller, CALLER_STREAMING);
    caller->keep_alive = stays_open(caller);
    send_message(caller, begin_message(caller, response, &facts,
                                       caller->keep_alive, &caller->framing));
}

void
caller_stream_chunk(struct caller *caller, const void *bytes, size_t count)
{
    GByteArray *chunk = g_byte_array_sized_new((guint)count + 32);

    response_framing_add(&caller->framing, bytes, count, chunk);
    send_message(caller, chunk);
    caller_memory_count(caller);
}

void
caller_stream_end(struct caller *caller, bool complete)
{
    GByteArray *end = g_byte_array_new();

    complete = response_framing_end(&caller->framing, complete, end);
    send_message(caller, end);
    if (!complete) {
        end_exchange(caller, false);
        close_caller(caller);
        return;
    }
    finish_response(caller, caller->keep_alive);
}

void
caller_set_kept_bytes(struct caller *caller, size_t bytes)
{
    caller->kept_bytes = bytes;
    caller_memory_count(caller);
}

bool
caller_is_full(const struct caller *caller)
{
    return caller->account != NULL && buffer_account_is_full(caller->account);
}
