/* Tests the HTTP server of entries over loopback sockets. The caller is a
   blocking socket in a thread of its own, which reads when the test says so.
 */

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/front.h"
#include "io/loop.h"

enum {
    READ_BYTES = 4096,
    LARGE_BYTES = 512 * 1024,
    LONG_BODY_BYTES = 16 * 1024 * 1024, /* more than sockets buffer */
    STATUS_OK = 200,
    DRIP_PAUSE_US = 100 * 1000,
    MAX_DRIPS = 60, /* then the caller gives up: the server has no bound */
};

struct fixture {
    struct loop *loop;
    struct front *front;
    struct exchange *exchange;
    const char *request; /* sent by the caller */
    size_t chunk_bytes;  /* of the stream */
    bool complete;       /* how the stream ends */
    /* The server stops listening when the request waits in the kernel, before
       its loop has run. */
    bool stop_listening;
    size_t body_bytes; /* sent after it */
    bool send_failed;
    const char *drip; /* sent after it, again and again; NULL: none */
    uint32_t drips;   /* that were sent */
    bool read_late;   /* the caller reads when the exchange has ended */
    GString *received;
    char *target; /* of the request, as the handlers see it */
    uint32_t requests;
    uint32_t closed;
    bool sent; /* the caller's request */
    pthread_mutex_t lock;
    pthread_cond_t changed;
};

static struct fixture fixture = {.lock = PTHREAD_MUTEX_INITIALIZER,
                                 .changed = PTHREAD_COND_INITIALIZER};

static void
on_caller_done(void *data, uint64_t now_ms)
{
    (void)data;
    (void)now_ms;
    loop_stop(fixture.loop);
}

static void
wait_until_sent(void)
{
    pthread_mutex_lock(&fixture.lock);
    while (!fixture.sent) {
        pthread_cond_wait(&fixture.changed, &fixture.lock);
    }
    pthread_mutex_unlock(&fixture.lock);
}

static void
wait_until_closed(void)
{
    pthread_mutex_lock(&fixture.lock);
    while (fixture.closed == 0) {
        pthread_cond_wait(&fixture.changed, &fixture.lock);
    }
    pthread_mutex_unlock(&fixture.lock);
}

/* Returns whether all of it could be sent. */
static bool
send_body(int fd)
{
    char bytes[READ_BYTES] = "";

    for (size_t sent = 0; sent < fixture.body_bytes; sent += sizeof(bytes)) {
        if (send(fd, bytes, sizeof(bytes), MSG_NOSIGNAL) !=
            (ssize_t)sizeof(bytes)) {
            return false;
        }
    }
    return true;
}

/* The caller: sends its request and reads until the connection ends. */
static void *
run_caller(void *data)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(*(uint16_t *)data)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    char bytes[READ_BYTES];
    ssize_t count;

    g_assert_cmpint(inet_pton(AF_INET, "127.0.0.1", &address.sin_addr), ==, 1);
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    g_assert_cmpint(
        send(fd, fixture.request, strlen(fixture.request), MSG_NOSIGNAL), >,
        0);
    fixture.send_failed = !send_body(fd);
    while (fixture.drip != NULL && fixture.drips < MAX_DRIPS &&
           send(fd, fixture.drip, strlen(fixture.drip), MSG_NOSIGNAL) > 0) {
        usleep(DRIP_PAUSE_US);
        fixture.drips++;
    }
    pthread_mutex_lock(&fixture.lock);
    fixture.sent = true;
    pthread_cond_broadcast(&fixture.changed);
    pthread_mutex_unlock(&fixture.lock);
    if (fixture.read_late) {
        wait_until_closed();
    }
    while ((count = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
        g_string_append_len(fixture.received, bytes, count);
    }
    close(fd);
    loop_post(fixture.loop, on_caller_done, NULL);
    return NULL;
}

/* The whole response at once, as when its parts arrive together. */
static void
send_stream(void *data, uint64_t now_ms)
{
    uint8_t *bytes = g_malloc(fixture.chunk_bytes);

    (void)data;
    (void)now_ms;
    memset(bytes, 'x', fixture.chunk_bytes);
    exchange_stream_begin(fixture.exchange, STATUS_OK, "text/event-stream");
    exchange_stream_chunk(fixture.exchange, bytes, fixture.chunk_bytes);
    exchange_stream_end(fixture.exchange, fixture.complete);
    g_free(bytes);
}

static void
on_request(void *data, struct exchange *exchange)
{
    (void)data;
    fixture.requests++;
    fixture.exchange = exchange;
    g_free(fixture.target);
    fixture.target = g_strdup(exchange_target(exchange));
    loop_post(fixture.loop, send_stream, NULL);
}

static void
on_closed(void *data, struct exchange *exchange)
{
    (void)data;
    (void)exchange;
    pthread_mutex_lock(&fixture.lock);
    fixture.closed++;
    pthread_cond_broadcast(&fixture.changed);
    pthread_mutex_unlock(&fixture.lock);
}

static void
on_disconnected(void *data, struct exchange *exchange)
{
    (void)data;
    (void)exchange;
}

static void
on_consumed(void *data, struct exchange *exchange, uint64_t bytes)
{
    (void)data;
    (void)exchange;
    (void)bytes;
}

static const struct front_handlers handlers = {on_request, on_closed,
                                               on_disconnected, on_consumed};

/* Runs one request to its end. The settings of the caller and the stream are
   in the fixture. */
static void
run_request(const struct front_settings *settings)
{
    pthread_t caller;
    uint16_t port;

    fixture.loop = loop_create();
    fixture.received = g_string_new(NULL);
    fixture.requests = 0;
    fixture.closed = 0;
    fixture.sent = false;
    fixture.front = front_create(fixture.loop, settings, &handlers, NULL);
    g_assert_nonnull(fixture.front);
    port = front_port(fixture.front);
    g_assert_cmpint(pthread_create(&caller, NULL, run_caller, &port), ==, 0);
    if (fixture.stop_listening) {
        wait_until_sent();
        front_stop_listening(fixture.front);
    }
    loop_run(fixture.loop);
    pthread_join(caller, NULL);
    front_destroy(fixture.front);
    loop_destroy(fixture.loop);
}

static void
clear(void)
{
    g_string_free(fixture.received, TRUE);
    g_clear_pointer(&fixture.target, g_free);
}

static const struct front_settings settings = {.ip = "127.0.0.1",
                                               .max_body_bytes = 1024,
                                               .body_memory_bytes = 4096,
                                               .max_connections = 16,
                                               .idle_s = 60};

#define GET_REQUEST(target)                                                   \
    "GET " target " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

static size_t
count_body_bytes(void)
{
    const char *body = strstr(fixture.received->str, "\r\n\r\n");
    size_t count = 0;

    for (; body != NULL && *body != '\0'; body++) {
        count += *body == 'x';
    }
    return count;
}

/* What was queued before a stream is cut reaches the caller, who does not take
   the stream for complete. */
static void
test_cut_stream(void)
{
    fixture.request = GET_REQUEST("/");
    fixture.chunk_bytes = 3;
    fixture.complete = false;
    fixture.read_late = false;
    run_request(&settings);
    g_assert_true(g_str_has_prefix(fixture.received->str, "HTTP/1.1 200"));
    g_assert_cmpuint(count_body_bytes(), ==, 3);
    g_assert_null(strstr(fixture.received->str, "\r\n0\r\n"));
    clear();
}

/* The same for a caller that reads nothing until the exchange has ended. */
static void
test_cut_stream_read_late(void)
{
    fixture.request = GET_REQUEST("/");
    fixture.chunk_bytes = 3;
    fixture.complete = false;
    fixture.read_late = true;
    run_request(&settings);
    g_assert_cmpuint(count_body_bytes(), ==, 3);
    g_assert_null(strstr(fixture.received->str, "\r\n0\r\n"));
    clear();
}

/* A stream larger than the socket's buffers, for a caller that reads it. */
static void
test_large_cut_stream(void)
{
    fixture.request = GET_REQUEST("/");
    fixture.chunk_bytes = LARGE_BYTES;
    fixture.complete = false;
    fixture.read_late = false;
    run_request(&settings);
    g_assert_cmpuint(count_body_bytes(), ==, LARGE_BYTES);
    g_assert_null(strstr(fixture.received->str, "\r\n0\r\n"));
    clear();
}

static void
test_complete_stream(void)
{
    fixture.request = GET_REQUEST("/");
    fixture.chunk_bytes = 3;
    fixture.complete = true;
    fixture.read_late = false;
    run_request(&settings);
    g_assert_cmpuint(count_body_bytes(), ==, 3);
    g_assert_nonnull(strstr(fixture.received->str, "\r\n0\r\n"));
    clear();
}

/* The target is the one that the caller sent. */
static void
test_target_as_sent(void)
{
    fixture.request = GET_REQUEST("/a%20b/c?d=1+2&e&f=%2B");
    fixture.chunk_bytes = 3;
    fixture.complete = true;
    fixture.read_late = false;
    run_request(&settings);
    g_assert_cmpstr(fixture.target, ==, "/a%20b/c?d=1+2&e&f=%2B");
    clear();
}

/* A body without Content-Length is refused for its length for good, for want
   of memory only for now. */
static void
test_chunked_body_refused(void)
{
    struct front_settings small = settings;

    fixture.request = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "8\r\n12345678\r\n0\r\n\r\n";
    fixture.read_late = false;
    small.max_body_bytes = 4;
    run_request(&small);
    g_assert_true(g_str_has_prefix(fixture.received->str, "HTTP/1.1 413"));
    clear();
    small.max_body_bytes = 1024;
    small.body_memory_bytes = 4;
    run_request(&small);
    g_assert_true(g_str_has_prefix(fixture.received->str, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(fixture.received->str, "Retry-After: "));
    g_assert_cmpuint(fixture.requests, ==, 0);
    clear();
}

/* Guards against a caller who doesn't see that its body is too long: the
   response came before the body was read, and the connection was reset. */
static void
test_long_body_refused(void)
{
    fixture.request = "POST / HTTP/1.1\r\nHost: a\r\n"
                      "Content-Length: 16777216\r\n\r\n";
    fixture.body_bytes = LONG_BODY_BYTES;
    fixture.read_late = false;
    run_request(&settings);
    g_assert_false(fixture.send_failed);
    g_assert_true(g_str_has_prefix(fixture.received->str, "HTTP/1.1 413"));
    g_assert_cmpuint(fixture.requests, ==, 0);
    fixture.body_bytes = 0;
    clear();
}

/* A caller that sends a byte now and then is disconnected, wherever it is in
   its request, although it is never silent for long. */
static void
test_dripping_request(void)
{
    static const char *const beginnings[] = {
        "GET /", "GET / HTTP/1.1\r\nHost: a\r\nX-Long: ",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n"};
    struct front_settings impatient = settings;

    impatient.idle_s = 1;
    fixture.read_late = false;
    fixture.drip = "x";
    for (size_t i = 0; i < G_N_ELEMENTS(beginnings); i++) {
        fixture.request = beginnings[i];
        fixture.drips = 0;
        run_request(&impatient);
        g_assert_cmpuint(fixture.requests, ==, 0);
        g_assert_cmpuint(fixture.drips, <, MAX_DRIPS);
        clear();
    }
    fixture.drip = NULL;
}

/* A request that only the kernel has accepted when the server stops listening
   is served. */
static void
test_request_before_stop(void)
{
    fixture.request = GET_REQUEST("/");
    fixture.chunk_bytes = 3;
    fixture.complete = true;
    fixture.read_late = false;
    fixture.stop_listening = true;
    run_request(&settings);
    fixture.stop_listening = false;
    g_assert_cmpuint(count_body_bytes(), ==, 3);
    clear();
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/front/cut-stream", test_cut_stream);
    g_test_add_func("/front/cut-stream-read-late", test_cut_stream_read_late);
    g_test_add_func("/front/large-cut-stream", test_large_cut_stream);
    g_test_add_func("/front/complete-stream", test_complete_stream);
    g_test_add_func("/front/target-as-sent", test_target_as_sent);
    g_test_add_func("/front/chunked-body-refused", test_chunked_body_refused);
    g_test_add_func("/front/long-body-refused", test_long_body_refused);
    g_test_add_func("/front/dripping-request", test_dripping_request);
    g_test_add_func("/front/request-before-stop", test_request_before_stop);
    return g_test_run();
}
