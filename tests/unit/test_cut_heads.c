/* Guards against a response that an endpoint breaks off within its head and
   that looks complete: the head of each kind of response is cut after each of
   its bytes, and the connection closed or reset, at the gateway's and the
   agent's client. */

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/endpoints.h"
#include "gateway/upstreams.h"
#include "io/http_call.h"
#include "io/http_message.h"
#include "io/loop.h"

#define ID "Attempt-Id: 1\r\nResponse-Signature: s\r\n"

enum {
    MAX_REQUEST_BYTES = 1024,
    TIMEOUT_S = 20,
    MS_PER_S = 1000,
    STATUS_OK = 200,
};

static const struct kind {
    const char *name;
    const char *head;
    bool head_only;
} kinds[] = {
    {"length", "HTTP/1.1 200 OK\r\n" ID "Content-Length: 3\r\n\r\n", false},
    {"empty", "HTTP/1.1 200 OK\r\n" ID "Content-Length: 0\r\n\r\n", false},
    {"chunks", "HTTP/1.1 200 OK\r\n" ID "Transfer-Encoding: chunked\r\n\r\n",
     false},
    {"until the end", "HTTP/1.1 200 OK\r\n" ID "\r\n", false},
    {"of HTTP 1.0", "HTTP/1.0 200 OK\r\n" ID "\r\n", false},
    {"events", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
     false},
    {"no content", "HTTP/1.1 204 No Content\r\n" ID "\r\n", false},
    {"not modified", "HTTP/1.1 304 Not Modified\r\n" ID "\r\n", false},
    {"to HEAD", "HTTP/1.1 200 OK\r\n" ID "Content-Length: 3\r\n\r\n", true},
    {"closed after", "HTTP/1.1 200 OK\r\nConnection: close\r\n" ID "\r\n",
     false},
    {"informational",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" ID "\r\n", false},
    {"folded", "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n" ID "\r\n", false},
};

static struct {
    int listener;
    uint16_t port;
    const char *head;
    size_t count; /* bytes of it that are sent */
    bool resets;
    struct loop *loop;
    bool failed;
    bool maybe_run;
} fixture;

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

/* Answers one request. */
static void *
serve(void *data)
{
    const struct linger no_linger = {.l_onoff = 1, .l_linger = 0};
    int fd = accept(fixture.listener, NULL, NULL);

    (void)data;
    g_assert_cmpint(fd, >=, 0);
    read_request(fd);
    g_assert_cmpint(send(fd, fixture.head, fixture.count, MSG_NOSIGNAL), ==,
                    (int)fixture.count);
    if (fixture.resets) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
    }
    close(fd);
    return NULL;
}

static void
listen_on_free_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);

    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    fixture.listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(bind(fixture.listener, (const struct sockaddr *)&address,
                         sizeof(address)),
                    ==, 0);
    g_assert_cmpint(listen(fixture.listener, 1), ==, 0);
    g_assert_cmpint(
        getsockname(fixture.listener, (struct sockaddr *)&address, &size), ==,
        0);
    fixture.port = ntohs(address.sin_port);
}

/* Handlers of the gateway's client. */

static void
on_head(void *data, const struct http_head *head)
{
    (void)data;
    (void)head;
    g_assert_not_reached();
}

static void
on_body(void *data, const uint8_t *bytes, size_t count)
{
    (void)data;
    (void)bytes;
    (void)count;
    g_assert_not_reached();
}

static void
on_end(void *data)
{
    (void)data;
    g_assert_not_reached();
}

static void
on_failed(void *data, enum upstream_failure failure, const char *why)
{
    (void)data;
    (void)why;
    fixture.failed = true;
    fixture.maybe_run = failure == UPSTREAM_MAY_HAVE_RUN;
    loop_stop(fixture.loop);
}

static void
send_by_gateway(const struct kind *kind)
{
    static const struct upstream_handlers handlers = {on_head, on_body, on_end,
                                                      on_failed};
    static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const struct upstream_request request = {.head = head,
                                             .head_bytes = strlen(head),
                                             .head_only = kind->head_only,
                                             .id = "1",
                                             .timeout_ms =
                                                 TIMEOUT_S * MS_PER_S,
                                             .max_connections = 1};
    const struct endpoint_registration entry = {.id = "e",
                                                .service = "s",
                                                .ip = "127.0.0.1",
                                                .port = fixture.port,
                                                .data_centre = "here",
                                                .slots = 1};
    struct endpoints *endpoints = endpoints_create();
    struct upstreams *upstreams;

    endpoints_put(endpoints, &entry, 0);
    fixture.loop = loop_create();
    upstreams = upstreams_create(fixture.loop);
    g_assert_nonnull(upstreams_send(upstreams, endpoints_find(endpoints, "e"),
                                    &request, &handlers, NULL));
    loop_run(fixture.loop);
    upstreams_destroy(upstreams);
    endpoints_destroy(endpoints);
}

/* Handlers of the agent's client. */

static bool
on_call_head(void *context, uint32_t status, const char *content_type)
{
    (void)context;
    (void)status;
    (void)content_type;
    g_assert_not_reached();
}

static bool
on_call_data(void *context, const char *bytes, size_t count)
{
    (void)context;
    (void)bytes;
    (void)count;
    g_assert_not_reached();
}

static void
send_by_agent(const struct kind *kind)
{
    static const struct http_response_handlers handlers = {on_call_head,
                                                           on_call_data};
    const struct http_request request = {
        .method = kind->head_only ? "HEAD" : "GET", .path = "/"};
    struct http_session *session =
        http_session_create("127.0.0.1", fixture.port, false);
    GError *error = NULL;

    http_session_set_timeouts(session, TIMEOUT_S, TIMEOUT_S, TIMEOUT_S);
    fixture.failed =
        !http_call_stream(session, &request, &handlers, NULL, &error);
    g_assert_true(fixture.failed);
    fixture.maybe_run = error->code == HTTP_ERROR_NO_RESPONSE;
    g_error_free(error);
    http_session_destroy(session);
}

static void
check_cut(const struct kind *kind, size_t count,
          void (*client)(const struct kind *kind))
{
    pthread_t thread;

    fixture.head = kind->head;
    fixture.count = count;
    fixture.failed = false;
    fixture.maybe_run = false;
    g_assert_cmpint(pthread_create(&thread, NULL, serve, NULL), ==, 0);
    client(kind);
    pthread_join(thread, NULL);
    if (!fixture.failed || !fixture.maybe_run) {
        g_error("%s, cut after %zu bytes: failed=%d maybe_run=%d", kind->name,
                count, fixture.failed, fixture.maybe_run);
    }
}

static void
check_all(void (*client)(const struct kind *kind))
{
    listen_on_free_port();
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        for (size_t count = 0; count < strlen(kinds[i].head); count++) {
            fixture.resets = false;
            check_cut(&kinds[i], count, client);
            fixture.resets = true;
            check_cut(&kinds[i], count, client);
        }
    }
    close(fixture.listener);
}

static void
test_gateway(void)
{
    check_all(send_by_gateway);
}

static void
test_agent(void)
{
    check_all(send_by_agent);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cut-heads/gateway", test_gateway);
    g_test_add_func("/cut-heads/agent", test_agent);
    return g_test_run();
}
