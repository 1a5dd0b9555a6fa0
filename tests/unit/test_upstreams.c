/* Tests connections to an endpoint that sends invalid or incomplete responses,
   closes connections, or resets them. The endpoint is a server in this process
   that follows a script, one step per request. */

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/endpoints.h"
#include "gateway/upstreams.h"
#include "io/http_connection.h"
#include "io/loop.h"

#define RESPONSE(body) "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" body
#define UNFRAMED_HEAD "HTTP/1.1 200 OK\r\n\r\n"

enum {
    MAX_REQUESTS = 4,
    MAX_BYTES = 1024,
    /* More than the endpoint's window. It pauses twice while it reads. */
    SLOW_BODY_BYTES = 80 * 1024,
    PAUSED_BYTES = 40 * 1024,
    RECEIVE_BUFFER_BYTES = 4096,
    READ_PAUSE_US = 2200 * 1000,
};

/* What the server does after it has read a request and sent the bytes. */
enum action {
    ACTION_KEEP,       /* keeps the connection open */
    ACTION_REPEAT,     /* sends them again once the client has the response */
    ACTION_CLOSE_IDLE, /* closes it once the client has the response */
    ACTION_CLOSE,      /* closes the connection at once */
    ACTION_RESET,      /* resets it once the client has the body "one" */
};

struct step {
    const char *bytes;
    enum action action;
};

struct fixture {
    struct loop *loop;
    struct upstreams *upstreams;
    struct endpoint *endpoint;
    int listener;
    const struct step *steps; /* one per request */
    uint32_t step_count;
    uint32_t requests; /* read by the server */
    uint32_t to_send;  /* requests that the client sends in total */
    uint32_t sent;
    uint64_t opened;  /* connections */
    GString *results; /* bodies of complete responses, and how others failed */
    pthread_mutex_t lock;
    pthread_cond_t changed;
    uint32_t ended;  /* responses that ended at the client */
    size_t received; /* bytes of bodies at the client */
    struct upstream *upstream;
    bool pauses;    /* the client stops reading when it gets bytes of a body */
    bool at_once;   /* it sends the next request when a response has ended */
    const char *id; /* of its requests */
    uint32_t heads_of_new; /* responses on connections without earlier ones */
    GByteArray *body;      /* of the requests; NULL: none */
    size_t read_bytes;     /* of it, by the server */
};

static struct fixture fixture = {.lock = PTHREAD_MUTEX_INITIALIZER,
                                 .changed = PTHREAD_COND_INITIALIZER};

static void send_next(void *data, uint64_t now_ms);

/* Server. */

static bool
read_request(int fd)
{
    char bytes[MAX_BYTES] = "";
    size_t count = 0;

    while (strstr(bytes, "\r\n\r\n") == NULL) {
        /* Nothing of the body. */
        ssize_t received_bytes = recv(fd, bytes + count, 1, 0);

        if (received_bytes <= 0) {
            return false;
        }
        count += (size_t)received_bytes;
    }
    return true;
}

/* Reads the request's body with pauses, through a small window. */
static void
read_body(int fd)
{
    char bytes[MAX_BYTES];
    size_t next_pause = PAUSED_BYTES / 2;
    ssize_t count = 1;

    while (fixture.body != NULL && count > 0 &&
           fixture.read_bytes < fixture.body->len) {
        count = recv(fd, bytes, sizeof(bytes), 0);
        fixture.read_bytes += count > 0 ? (size_t)count : 0;
        if (fixture.read_bytes >= next_pause) {
            g_usleep(READ_PAUSE_US);
            next_pause += PAUSED_BYTES;
        }
    }
}

static void
wait_until_ended(uint32_t count)
{
    pthread_mutex_lock(&fixture.lock);
    while (fixture.ended < count) {
        pthread_cond_wait(&fixture.changed, &fixture.lock);
    }
    pthread_mutex_unlock(&fixture.lock);
}

/* Call it before a reset, which discards bytes that have not arrived. */
static void
wait_until_received(size_t count)
{
    pthread_mutex_lock(&fixture.lock);
    while (fixture.received < count) {
        pthread_cond_wait(&fixture.changed, &fixture.lock);
    }
    pthread_mutex_unlock(&fixture.lock);
}

/* Returns whether the connection stays open. */
static bool
run_step(int fd, const struct step *step, uint32_t number)
{
    const struct linger no_linger = {.l_onoff = 1, .l_linger = 0};

    g_assert_cmpint(send(fd, step->bytes, strlen(step->bytes), MSG_NOSIGNAL),
                    >=, 0);
    switch (step->action) {
    case ACTION_KEEP:
        return true;
    case ACTION_REPEAT:
        wait_until_ended(number);
        send(fd, step->bytes, strlen(step->bytes), MSG_NOSIGNAL);
        loop_post(fixture.loop, send_next, NULL);
        return true;
    case ACTION_CLOSE_IDLE:
        wait_until_ended(number);
        shutdown(fd, SHUT_RDWR);
        loop_post(fixture.loop, send_next, NULL);
        return false;
    case ACTION_RESET:
        wait_until_received(strlen("one"));
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
        return false;
    case ACTION_CLOSE:
        return false;
    }
    return false;
}

static void *
serve(void *data)
{
    (void)data;
    while (fixture.requests < fixture.step_count) {
        int fd = accept(fixture.listener, NULL, NULL);
        bool stays_open = true;

        if (fd < 0) {
            return NULL;
        }
        while (stays_open && fixture.requests < fixture.step_count &&
               read_request(fd)) {
            const struct step *step = &fixture.steps[fixture.requests++];

            read_body(fd);

            stays_open = run_step(fd, step, fixture.requests);
        }
        close(fd);
    }
    return NULL;
}

/* Client. */

static void
on_head(void *data, const struct http_head *head)
{
    (void)data;
    (void)head;
    fixture.heads_of_new += upstream_is_new(fixture.upstream) ? 1 : 0;
}

static void
on_body(void *data, const uint8_t *bytes, size_t count)
{
    (void)data;
    g_string_append_len(fixture.results, (const char *)bytes, (gssize)count);
    if (fixture.pauses) {
        upstream_pause(fixture.upstream, true);
    }
    pthread_mutex_lock(&fixture.lock);
    fixture.received += count;
    pthread_cond_broadcast(&fixture.changed);
    pthread_mutex_unlock(&fixture.lock);
}

/* Sends the next request, unless the server does so for this step. */
static void
on_request_ended(void)
{
    enum action action = fixture.steps[fixture.sent - 1].action;

    pthread_mutex_lock(&fixture.lock);
    fixture.ended++;
    pthread_cond_broadcast(&fixture.changed);
    pthread_mutex_unlock(&fixture.lock);
    if (fixture.sent == fixture.to_send) {
        loop_stop(fixture.loop);
    }
    else if (fixture.at_once) {
        send_next(NULL, 0);
    }
    else if (action != ACTION_REPEAT && action != ACTION_CLOSE_IDLE) {
        loop_post(fixture.loop, send_next, NULL);
    }
}

static void
on_end(void *data)
{
    (void)data;
    g_string_append(fixture.results, ";");
    on_request_ended();
}

static void
on_failed(void *data, enum upstream_failure failure, const char *why)
{
    (void)data;
    (void)why;
    g_string_append(fixture.results,
                    failure == UPSTREAM_NOT_SENT ? "not sent;" : "broken;");
    on_request_ended();
}

static void
send_next(void *data, uint64_t now_ms)
{
    static const struct upstream_handlers handlers = {on_head, on_body, on_end,
                                                      on_failed};
    static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const struct upstream_request request = {.head = head,
                                             .head_bytes = strlen(head),
                                             .id = fixture.id,
                                             .body = fixture.body,
                                             .timeout_ms = 20000,
                                             .max_connections = 8};

    (void)data;
    (void)now_ms;
    fixture.sent++;
    fixture.upstream = upstreams_send(fixture.upstreams, fixture.endpoint,
                                      &request, &handlers, NULL);
    g_assert_nonnull(fixture.upstream);
}

static uint16_t
listen_on_free_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int buffer_bytes = RECEIVE_BUFFER_BYTES;

    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    fixture.listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(bind(fixture.listener, (const struct sockaddr *)&address,
                         sizeof(address)),
                    ==, 0);
    if (fixture.body != NULL) {
        g_assert_cmpint(setsockopt(fixture.listener, SOL_SOCKET, SO_RCVBUF,
                                   &buffer_bytes, sizeof(buffer_bytes)),
                        ==, 0);
    }
    g_assert_cmpint(listen(fixture.listener, MAX_REQUESTS), ==, 0);
    g_assert_cmpint(
        getsockname(fixture.listener, (struct sockaddr *)&address, &size), ==,
        0);
    return ntohs(address.sin_port);
}

/* Sends one request per step, in sequence, and returns the results. Free with
   g_free(). */
static char *
run_steps(const struct step *steps, uint32_t count)
{
    struct endpoints *endpoints = endpoints_create();
    const struct endpoint_registration entry = {.id = "e",
                                                .service = "s",
                                                .ip = "127.0.0.1",
                                                .port = listen_on_free_port(),
                                                .data_centre = "here",
                                                .slots = 1};
    pthread_t thread;

    endpoints_put(endpoints, &entry, 0);
    fixture.loop = loop_create();
    fixture.upstreams = upstreams_create(fixture.loop);
    fixture.endpoint = endpoints_find(endpoints, "e");
    fixture.steps = steps;
    fixture.step_count = count;
    fixture.to_send = count;
    fixture.requests = 0;
    fixture.sent = 0;
    fixture.ended = 0;
    fixture.received = 0;
    fixture.results = g_string_new(NULL);
    fixture.heads_of_new = 0;
    g_assert_cmpint(pthread_create(&thread, NULL, serve, NULL), ==, 0);
    send_next(NULL, 0);
    loop_run(fixture.loop);
    fixture.opened = upstreams_opened_total(fixture.upstreams);
    upstreams_destroy(fixture.upstreams);
    /* The server may wait for a request that was not sent. */
    shutdown(fixture.listener, SHUT_RDWR);
    pthread_join(thread, NULL);
    g_assert_cmpuint(fixture.requests, ==, count);
    close(fixture.listener);
    endpoints_destroy(endpoints);
    return g_string_free(fixture.results, FALSE);
}

static void
check(const struct step *steps, uint32_t count, const char *expected,
      uint32_t connections)
{
    char *results_text = run_steps(steps, count);

    g_assert_cmpstr(results_text, ==, expected);
    g_assert_cmpuint(fixture.opened, ==, connections);
    g_free(results_text);
}

static void
test_connection_is_reused(void)
{
    static const struct step steps[] = {{RESPONSE("one"), ACTION_KEEP},
                                        {RESPONSE("two"), ACTION_KEEP}};

    check(steps, 2, "one;two;", 1);
    g_assert_cmpuint(fixture.heads_of_new, ==, 1);
}

/* A connection that was paused when the response ended is read again for the
   next request, which otherwise waits in vain. */
static void
test_reused_after_pause(void)
{
    static const struct step steps[] = {{RESPONSE("one"), ACTION_KEEP},
                                        {RESPONSE("two"), ACTION_KEEP}};

    fixture.pauses = true;
    check(steps, 2, "one;two;", 1);
    fixture.pauses = false;
}

/* The bytes after a response belong to no request, so the connection is not
   reused. */
static void
test_extra_at_once(void)
{
    static const struct step steps[] = {
        {RESPONSE("one") RESPONSE("odd"), ACTION_KEEP},
        {RESPONSE("two"), ACTION_KEEP}};

    check(steps, 2, "one;two;", 2);
}

/* Nor is it by a request that is sent when the response ends, before the bytes
   after it are looked at: that request was lost with the connection. */
static void
test_extra_before_next(void)
{
    static const struct step steps[] = {
        {RESPONSE("one") RESPONSE("odd"), ACTION_KEEP},
        {RESPONSE("two"), ACTION_KEEP}};

    fixture.at_once = true;
    check(steps, 2, "one;two;", 2);
    fixture.at_once = false;
}

/* A second response to a request, which bears its id, would answer the next
   request with the same id: a refusal that was sent twice. */
static void
test_same_id_again(void)
{
    static const struct step steps[] = {{RESPONSE("one"), ACTION_KEEP},
                                        {RESPONSE("two"), ACTION_KEEP}};

    fixture.id = "one";
    check(steps, 2, "one;two;", 2);
    fixture.id = NULL;
}

static void
test_extra_later(void)
{
    static const struct step steps[] = {{RESPONSE("one"), ACTION_REPEAT},
                                        {RESPONSE("two"), ACTION_KEEP}};

    check(steps, 2, "one;two;", 2);
}

static void
test_unframed(void)
{
    static const struct step steps[] = {{UNFRAMED_HEAD "one", ACTION_CLOSE},
                                        {RESPONSE("two"), ACTION_KEEP}};

    check(steps, 2, "one;two;", 2);
}

/* A response without a length may be incomplete if the connection is reset. */
static void
test_unframed_reset(void)
{
    static const struct step steps[] = {{UNFRAMED_HEAD "one", ACTION_RESET},
                                        {RESPONSE("two"), ACTION_KEEP}};

    check(steps, 2, "onebroken;two;", 2);
}

static void
test_incomplete_response(void)
{
    static const struct step steps[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\none", ACTION_CLOSE},
        {"no answer at all\r\n\r\n", ACTION_KEEP},
        {RESPONSE("two"), ACTION_KEEP}};

    check(steps, 3, "onebroken;broken;two;", 3);
}

/* An idle connection that the endpoint has closed isn't reused. */
static void
test_closed_while_idle(void)
{
    static const struct step steps[] = {{RESPONSE("one"), ACTION_CLOSE_IDLE},
                                        {RESPONSE("two"), ACTION_KEEP}};

    check(steps, 2, "one;two;", 2);
}

/* If the endpoint closes a reused connection during a request, the request may
   have run, so it isn't sent again here. */
static void
test_closed_during_request(void)
{
    static const struct step steps[] = {{RESPONSE("one"), ACTION_KEEP},
                                        {"", ACTION_CLOSE}};

    check(steps, 2, "one;broken;", 1);
}

/* An endpoint that pauses while it reads a long body gets all of it: TCP's
   timer used to reset the connection after 1.5 s. */
static void
test_slow_body(void)
{
    static const struct step steps[] = {{RESPONSE("one"), ACTION_KEEP}};

    fixture.body = g_byte_array_new();
    g_byte_array_set_size(fixture.body, SLOW_BODY_BYTES);
    memset(fixture.body->data, 'x', SLOW_BODY_BYTES);
    check(steps, 1, "one;", 1);
    g_assert_cmpuint(fixture.read_bytes, ==, SLOW_BODY_BYTES);
    g_byte_array_unref(fixture.body);
    fixture.body = NULL;
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/upstreams/kept", test_connection_is_reused);
    g_test_add_func("/upstreams/paused", test_reused_after_pause);
    g_test_add_func("/upstreams/extra-at-once", test_extra_at_once);
    g_test_add_func("/upstreams/extra-before-next", test_extra_before_next);
    g_test_add_func("/upstreams/same-id-again", test_same_id_again);
    g_test_add_func("/upstreams/extra-later", test_extra_later);
    g_test_add_func("/upstreams/unframed", test_unframed);
    g_test_add_func("/upstreams/unframed-reset", test_unframed_reset);
    g_test_add_func("/upstreams/incomplete", test_incomplete_response);
    g_test_add_func("/upstreams/closed-meanwhile", test_closed_while_idle);
    g_test_add_func("/upstreams/closed-under-request",
                    test_closed_during_request);
    g_test_add_func("/upstreams/slow-body", test_slow_body);
    return g_test_run();
}
