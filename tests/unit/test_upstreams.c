/* Connections to an endpoint that answers oddly: by a server in this process
   that plays one script a connection. */

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

#define ANSWER(body) "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" body
#define UNFRAMED "HTTP/1.1 200 OK\r\n\r\n"

enum {
    MAX_REQUESTS = 4,
    MAX_BYTES = 1024,
};

/* What the server does after it has read a request. */
enum deed {
    DEED_ANSWER,       /* and keeps the connection */
    DEED_ANSWER_LATER, /* and answers again when the caller has the first */
    DEED_ANSWER_CLOSE, /* and closes it when the caller has the answer */
    DEED_CLOSE,        /* closes after what it has sent */
    DEED_RESET,
};

struct step {
    const char *bytes;
    enum deed deed;
};

struct world {
    struct loop *loop;
    struct upstreams *upstreams;
    struct endpoint *endpoint;
    int listener;
    const struct step *steps; /* one a request */
    uint32_t step_count;
    uint32_t requests; /* that the server has read */
    uint32_t wanted;   /* that are to be sent */
    uint32_t sent;
    uint64_t opened;
    GString *bodies; /* of complete answers, and how others failed */
    pthread_mutex_t lock;
    pthread_cond_t changed;
    uint32_t answered; /* complete at the caller */
    size_t received;   /* bytes of bodies there */
};

static struct world world = {.lock = PTHREAD_MUTEX_INITIALIZER,
                             .changed = PTHREAD_COND_INITIALIZER};

static void send_next(void *data, uint64_t now_ms);

/* The server. */

static bool
read_request(int fd)
{
    char bytes[MAX_BYTES] = "";
    size_t count = 0;

    while (strstr(bytes, "\r\n\r\n") == NULL) {
        ssize_t got = recv(fd, bytes + count, sizeof(bytes) - 1 - count, 0);

        if (got <= 0) {
            return false;
        }
        count += (size_t)got;
    }
    return true;
}

static void
wait_until_answered(uint32_t count)
{
    pthread_mutex_lock(&world.lock);
    while (world.answered < count) {
        pthread_cond_wait(&world.changed, &world.lock);
    }
    pthread_mutex_unlock(&world.lock);
}

/* A reset would drop what has not arrived. */
static void
wait_until_received(size_t count)
{
    pthread_mutex_lock(&world.lock);
    while (world.received < count) {
        pthread_cond_wait(&world.changed, &world.lock);
    }
    pthread_mutex_unlock(&world.lock);
}

/* Returns whether the connection goes on. */
static bool
do_step(int fd, const struct step *step, uint32_t number)
{
    const struct linger at_once = {.l_onoff = 1, .l_linger = 0};

    g_assert_cmpint(send(fd, step->bytes, strlen(step->bytes), MSG_NOSIGNAL),
                    >=, 0);
    switch (step->deed) {
    case DEED_ANSWER:
        return true;
    case DEED_ANSWER_LATER:
        wait_until_answered(number);
        send(fd, step->bytes, strlen(step->bytes), MSG_NOSIGNAL);
        loop_post(world.loop, send_next, NULL);
        return true;
    case DEED_ANSWER_CLOSE:
        wait_until_answered(number);
        shutdown(fd, SHUT_RDWR);
        loop_post(world.loop, send_next, NULL);
        return false;
    case DEED_RESET:
        wait_until_received(strlen("one"));
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        return false;
    case DEED_CLOSE:
        return false;
    }
    return false;
}

static void *
serve(void *data)
{
    (void)data;
    while (world.requests < world.step_count) {
        int fd = accept(world.listener, NULL, NULL);
        bool goes_on = fd >= 0;

        while (goes_on && world.requests < world.step_count &&
               read_request(fd)) {
            const struct step *step = &world.steps[world.requests++];

            goes_on = do_step(fd, step, world.requests);
        }
        close(fd);
    }
    return NULL;
}

/* The caller. */

static void
on_head(void *data, const struct http_head *head)
{
    (void)data;
    (void)head;
}

static void
on_body(void *data, const uint8_t *bytes, size_t count)
{
    (void)data;
    g_string_append_len(world.bodies, (const char *)bytes, (gssize)count);
    pthread_mutex_lock(&world.lock);
    world.received += count;
    pthread_cond_broadcast(&world.changed);
    pthread_mutex_unlock(&world.lock);
}

/* The next request, unless the server says when. */
static void
go_on(void)
{
    enum deed deed = world.steps[world.sent - 1].deed;

    pthread_mutex_lock(&world.lock);
    world.answered++;
    pthread_cond_broadcast(&world.changed);
    pthread_mutex_unlock(&world.lock);
    if (world.sent == world.wanted) {
        loop_stop(world.loop);
    }
    else if (deed != DEED_ANSWER_LATER && deed != DEED_ANSWER_CLOSE) {
        loop_post(world.loop, send_next, NULL);
    }
}

static void
on_end(void *data)
{
    (void)data;
    g_string_append(world.bodies, ";");
    go_on();
}

static void
on_failed(void *data, enum upstream_failure failure, const char *why)
{
    (void)data;
    (void)why;
    g_string_append(world.bodies, failure == UPSTREAM_MAY_HAVE_RUN
                                      ? "broken;"
                                      : "not sent;");
    go_on();
}

static void
send_next(void *data, uint64_t now_ms)
{
    static const struct upstream_handlers handlers = {on_head, on_body, on_end,
                                                      on_failed};
    static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const struct upstream_request request = {
        .head = head, .head_bytes = strlen(head), .max_connections = 8};

    (void)data;
    (void)now_ms;
    world.sent++;
    g_assert_nonnull(upstreams_send(world.upstreams, world.endpoint, &request,
                                    &handlers, NULL));
}

static uint16_t
listen_anywhere(void)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t size = sizeof(at);

    inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
    world.listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(
        bind(world.listener, (const struct sockaddr *)&at, sizeof(at)), ==, 0);
    g_assert_cmpint(listen(world.listener, MAX_REQUESTS), ==, 0);
    g_assert_cmpint(getsockname(world.listener, (struct sockaddr *)&at, &size),
                    ==, 0);
    return ntohs(at.sin_port);
}

/* Sends as many requests as there are steps, one after the other, and returns
   the answers. Free with g_free(). */
static char *
play(const struct step *steps, uint32_t count)
{
    struct endpoints *endpoints = endpoints_create();
    const struct endpoint_entry entry = {.id = "e",
                                         .service = "s",
                                         .ip = "127.0.0.1",
                                         .port = listen_anywhere(),
                                         .data_centre = "here",
                                         .slots = 1};
    pthread_t thread;

    endpoints_put(endpoints, &entry);
    world.loop = loop_create();
    world.upstreams = upstreams_create(world.loop);
    world.endpoint = endpoints_find(endpoints, "e");
    world.steps = steps;
    world.step_count = count;
    world.wanted = count;
    world.requests = 0;
    world.sent = 0;
    world.answered = 0;
    world.received = 0;
    world.bodies = g_string_new(NULL);
    g_assert_cmpint(pthread_create(&thread, NULL, serve, NULL), ==, 0);
    send_next(NULL, 0);
    loop_run(world.loop);
    pthread_join(thread, NULL);
    g_assert_cmpuint(world.requests, ==, count);
    world.opened = upstreams_opened_total(world.upstreams);
    upstreams_destroy(world.upstreams);
    close(world.listener);
    endpoints_destroy(endpoints);
    return g_string_free(world.bodies, FALSE);
}

static void
check(const struct step *steps, uint32_t count, const char *wanted,
      uint32_t connections)
{
    char *found = play(steps, count);

    g_assert_cmpstr(found, ==, wanted);
    g_assert_cmpuint(world.opened, ==, connections);
    g_free(found);
}

static void
test_kept(void)
{
    static const struct step steps[] = {{ANSWER("one"), DEED_ANSWER},
                                        {ANSWER("two"), DEED_ANSWER}};

    check(steps, 2, "one;two;", 1);
}

/* Bytes beyond an answer belong to no request. */
static void
test_extra_at_once(void)
{
    static const struct step steps[] = {
        {ANSWER("one") ANSWER("odd"), DEED_ANSWER},
        {ANSWER("two"), DEED_ANSWER}};

    check(steps, 2, "one;two;", 2);
}

static void
test_extra_later(void)
{
    static const struct step steps[] = {{ANSWER("one"), DEED_ANSWER_LATER},
                                        {ANSWER("two"), DEED_ANSWER}};

    check(steps, 2, "one;two;", 2);
}

static void
test_unframed(void)
{
    static const struct step steps[] = {{UNFRAMED "one", DEED_CLOSE},
                                        {ANSWER("two"), DEED_ANSWER}};

    check(steps, 2, "one;two;", 2);
}

/* An answer without a length that is reset may lack its end. */
static void
test_unframed_reset(void)
{
    static const struct step steps[] = {{UNFRAMED "one", DEED_RESET},
                                        {ANSWER("two"), DEED_ANSWER}};

    check(steps, 2, "onebroken;two;", 2);
}

static void
test_cut(void)
{
    static const struct step steps[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\none", DEED_CLOSE},
        {"no answer at all\r\n\r\n", DEED_ANSWER},
        {ANSWER("two"), DEED_ANSWER}};

    check(steps, 3, "onebroken;broken;two;", 3);
}

/* One that was closed meanwhile isn't used. */
static void
test_closed_meanwhile(void)
{
    static const struct step steps[] = {{ANSWER("one"), DEED_ANSWER_CLOSE},
                                        {ANSWER("two"), DEED_ANSWER}};

    check(steps, 2, "one;two;", 2);
}

/* Closed under a request, which may have run and isn't sent again here. */
static void
test_closed_under_request(void)
{
    static const struct step steps[] = {{ANSWER("one"), DEED_ANSWER},
                                        {"", DEED_CLOSE}};

    check(steps, 2, "one;broken;", 1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/upstreams/kept", test_kept);
    g_test_add_func("/upstreams/extra-at-once", test_extra_at_once);
    g_test_add_func("/upstreams/extra-later", test_extra_later);
    g_test_add_func("/upstreams/unframed", test_unframed);
    g_test_add_func("/upstreams/unframed-reset", test_unframed_reset);
    g_test_add_func("/upstreams/cut", test_cut);
    g_test_add_func("/upstreams/closed-meanwhile", test_closed_meanwhile);
    g_test_add_func("/upstreams/closed-under-request",
                    test_closed_under_request);
    return g_test_run();
}
