#include "tests/raw_answer.h"

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <semaphore.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/endpoints.h"
#include "gateway/upstreams.h"
#include "io/http_call.h"
#include "io/http_message.h"
#include "io/loop.h"

enum {
    MAX_REQUEST_BYTES = 1024,
    TIMEOUT_S = 20,
    MS_PER_S = 1000,
};

struct exchange {
    const struct raw_answer *answer;
    struct raw_answer_outcome *outcome;
    int listener;
    uint16_t port;
    size_t expected_body_bytes; /* of an answer with an upload */
    sem_t read;                 /* the client has read all bytes */
    struct loop *loop;          /* of the gateway's client */
};

/* The stand-in. */

/* Reads the head, and perhaps the beginning of the body. */
static void
read_request(int fd)
{
    char bytes[MAX_REQUEST_BYTES] = "";
    size_t count = 0;

    while (strstr(bytes, "\r\n\r\n") == NULL) {
        ssize_t received =
            recv(fd, bytes + count, sizeof(bytes) - 1 - count, 0);

        g_assert_cmpint(received, >, 0);
        count += (size_t)received;
    }
}

static void
end_connection(int fd, const struct raw_answer *answer)
{
    const struct linger no_linger = {.l_onoff = 1, .l_linger = 0};

    if (answer->end == RAW_ANSWER_CLOSE_THEN_RESET) {
        shutdown(fd, SHUT_WR);
    }
    if (answer->end != RAW_ANSWER_CLOSE) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
    }
    close(fd);
}

static void *
serve(void *data)
{
    struct exchange *exchange = data;
    const struct raw_answer *answer = exchange->answer;
    int fd = accept(exchange->listener, NULL, NULL);

    g_assert_cmpint(fd, >=, 0);
    read_request(fd);
    g_assert_cmpint(send(fd, answer->bytes, answer->count, MSG_NOSIGNAL), ==,
                    (int)answer->count);
    if (answer->upload_bytes > 0) {
        sem_wait(&exchange->read);
    }
    end_connection(fd, answer);
    return NULL;
}

static void
listen_on_free_port(struct exchange *exchange)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);

    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    exchange->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(bind(exchange->listener, (const struct sockaddr *)&address,
                         sizeof(address)),
                    ==, 0);
    g_assert_cmpint(listen(exchange->listener, 1), ==, 0);
    g_assert_cmpint(
        getsockname(exchange->listener, (struct sockaddr *)&address, &size),
        ==, 0);
    exchange->port = ntohs(address.sin_port);
}

/* What the clients report. */

static void
post_if_read(struct exchange *exchange)
{
    if (exchange->outcome->body_bytes == exchange->expected_body_bytes) {
        sem_post(&exchange->read);
    }
}

static void
record_head(struct exchange *exchange, uint32_t status)
{
    exchange->outcome->has_head = true;
    exchange->outcome->status = status;
    post_if_read(exchange);
}

static void
record_body(struct exchange *exchange, const void *bytes, size_t count)
{
    struct raw_answer_outcome *outcome = exchange->outcome;

    g_assert_cmpuint(outcome->body_bytes + count, <, sizeof(outcome->body));
    memcpy(outcome->body + outcome->body_bytes, bytes, count);
    outcome->body_bytes += count;
    post_if_read(exchange);
}

/* Handlers of the gateway's client. */

static void
on_head(void *data, const struct http_head *head)
{
    record_head(data, head->status);
}

static void
on_body(void *data, const uint8_t *bytes, size_t count)
{
    record_body(data, bytes, count);
}

static void
on_end(void *data)
{
    struct exchange *exchange = data;

    exchange->outcome->complete = true;
    loop_stop(exchange->loop);
}

static void
on_failed(void *data, enum upstream_failure failure, const char *why)
{
    struct exchange *exchange = data;

    (void)why;
    exchange->outcome->maybe_run = failure != UPSTREAM_NOT_SENT;
    loop_stop(exchange->loop);
}

static void
stop_loop(void *data, uint64_t now_ms)
{
    (void)now_ms;
    loop_stop(data);
}

static void
send_by_gateway(struct exchange *exchange, GByteArray *body)
{
    static const struct upstream_handlers handlers = {on_head, on_body, on_end,
                                                      on_failed};
    const struct endpoint_registration entry = {.id = "e",
                                                .service = "s",
                                                .ip = "127.0.0.1",
                                                .port = exchange->port,
                                                .data_centre = "here",
                                                .slots = 1};
    char *head = g_strdup_printf(
        "%s / HTTP/1.1\r\nHost: a\r\nContent-Length: %u\r\n\r\n",
        exchange->answer->head_only ? "HEAD" : "POST", body->len);
    const struct upstream_request request = {
        .head = head,
        .head_bytes = strlen(head),
        .body = body,
        .head_only = exchange->answer->head_only,
        .id = "1",
        .timeout_ms = TIMEOUT_S * MS_PER_S,
        .max_connections = 1};
    struct endpoints *endpoints = endpoints_create();
    struct upstreams *upstreams;

    endpoints_put(endpoints, &entry, 0);
    exchange->loop = loop_create();
    upstreams = upstreams_create(exchange->loop);
    g_assert_nonnull(upstreams_send(upstreams, endpoints_find(endpoints, "e"),
                                    &request, &handlers, exchange));
    loop_run(exchange->loop);
    upstreams_destroy(upstreams);
    endpoints_destroy(endpoints);
    /* The loop frees closed connections in its next iteration. */
    loop_post(exchange->loop, stop_loop, exchange->loop);
    loop_run(exchange->loop);
    loop_destroy(exchange->loop);
    g_free(head);
}

/* Handlers of the agent's client. */

static bool
on_call_head(void *context, uint32_t status, const char *content_type)
{
    (void)content_type;
    record_head(context, status);
    return true;
}

static bool
on_call_data(void *context, const char *bytes, size_t count)
{
    record_body(context, bytes, count);
    return true;
}

static void
send_by_agent(struct exchange *exchange, GByteArray *body)
{
    static const struct http_response_handlers handlers = {on_call_head,
                                                           on_call_data};
    const struct http_request request = {
        .method = exchange->answer->head_only ? "HEAD" : "POST",
        .path = "/",
        .body = body->data,
        .body_bytes = body->len};
    struct http_session *session =
        http_session_create("127.0.0.1", exchange->port, false);
    GError *error = NULL;

    http_session_set_timeouts(session, TIMEOUT_S, TIMEOUT_S, TIMEOUT_S);
    exchange->outcome->complete =
        http_call_stream(session, &request, &handlers, exchange, &error);
    exchange->outcome->maybe_run =
        error != NULL && error->code == HTTP_ERROR_NO_RESPONSE;
    g_clear_error(&error);
    http_session_destroy(session);
}

static size_t
body_bytes_of(const struct raw_answer *answer)
{
    const char *end = strstr(answer->bytes, "\r\n\r\n");

    return end != NULL ? strlen(end) - strlen("\r\n\r\n") : 0;
}

static void
run(const struct raw_answer *answer, struct raw_answer_outcome *outcome,
    void (*client)(struct exchange *exchange, GByteArray *body))
{
    struct exchange exchange = {.answer = answer, .outcome = outcome};
    GByteArray *body = g_byte_array_new();
    pthread_t thread;

    memset(outcome, 0, sizeof(*outcome));
    g_byte_array_set_size(body, (guint)answer->upload_bytes);
    if (answer->upload_bytes > 0) {
        memset(body->data, 'u', body->len);
        exchange.expected_body_bytes = body_bytes_of(answer);
    }
    sem_init(&exchange.read, 0, 0);
    listen_on_free_port(&exchange);
    g_assert_cmpint(pthread_create(&thread, NULL, serve, &exchange), ==, 0);
    client(&exchange, body);
    pthread_join(thread, NULL);
    close(exchange.listener);
    sem_destroy(&exchange.read);
    g_byte_array_unref(body);
}

void
raw_answer_by_gateway(const struct raw_answer *answer,
                      struct raw_answer_outcome *outcome)
{
    run(answer, outcome, send_by_gateway);
}

void
raw_answer_by_agent(const struct raw_answer *answer,
                    struct raw_answer_outcome *outcome)
{
    run(answer, outcome, send_by_agent);
}
