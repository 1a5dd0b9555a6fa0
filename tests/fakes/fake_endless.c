/* Fake of a server in trouble: for each request it sends the beginning of a
   response and then bytes without end, until the caller closes, or resets the
   connection. --mode N selects what they are (see modes), --pause N sends them
   byte by byte with so many milliseconds between. It prints the mode of each
   response that the caller has ended. Health checks of agents get a valid
   response: GET /health, and GET /v1/streams, which it does not have. */

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/fakes/fake_server.h"

#define STATUS_LINE "HTTP/1.1 200 OK\r\n"
#define CHUNKED STATUS_LINE "Transfer-Encoding: chunked\r\n"
#define EVENTS STATUS_LINE "Content-Type: text/event-stream\r\n"
/* Replaced by the headers that say that the response answers the request. */
#define ANSWERS "@"

enum {
    MAX_REQUEST_BYTES = 64 * 1024,
    BACKLOG = 64,
    US_PER_MS = 1000,
    ID_BYTES = 64,
    /* Enough for the caller to read what was sent before. */
    RESET_DELAY_US = 100 * 1000,
};

/* What is sent once, and what is repeated for ever; NULL: the connection is
   reset instead. */
struct mode {
    const char *name;
    const char *beginning;
    const char *unit;
};

static const struct mode modes[] = {
    {"header", STATUS_LINE "X-Long: ", "xxxxxxxxxxxxxxxx"},
    {"headers", STATUS_LINE, "X-Odd: y\r\n"},
    {"informational", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"blank", "", "\r\n"},
    {"noise", "", "no answer at all "},
    {"extension", CHUNKED ANSWERS "\r\n5;", "xxxxxxxxxxxxxxxx"},
    {"trailer", CHUNKED ANSWERS "\r\n0\r\n", "X-Odd: y\r\n"},
    {"event", EVENTS ANSWERS "\r\nid: 1\ndata: ", "xxxxxxxxxxxxxxxx"},
    {"beyond", STATUS_LINE "Content-Length: 3\r\n" ANSWERS "\r\none",
     "xxxxxxxxxxxxxxxx"},
    {"no-content", "HTTP/1.1 204 No Content\r\n" ANSWERS "\r\n",
     "xxxxxxxxxxxxxxxx"},
    {"body", STATUS_LINE ANSWERS "\r\n", "xxxxxxxxxxxxxxxx"},
    {"comments", EVENTS ANSWERS "\r\n", ": note\n\n"},
    {"reset", STATUS_LINE ANSWERS "\r\npart", NULL},
};

static bool
send_text(int fd, const char *text, uint64_t pause_ms)
{
    size_t count = strlen(text);

    for (size_t i = 0; pause_ms > 0 && i < count; i++) {
        if (send(fd, text + i, 1, MSG_NOSIGNAL) < 0) {
            return false;
        }
        usleep((useconds_t)(pause_ms * US_PER_MS));
    }
    return pause_ms > 0 || send(fd, text, count, MSG_NOSIGNAL) >= 0;
}

/* Returns NULL for other requests. */
static const char *
health_response(const char *head)
{
    if (g_str_has_prefix(head, "GET /health ")) {
        return STATUS_LINE "Content-Length: 0\r\n\r\n";
    }
    if (g_str_has_prefix(head, "GET /v1/streams ")) {
        return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    }
    return NULL;
}

static bool
read_head(int fd, char *head, size_t size)
{
    size_t count = 0;

    head[0] = '\0';
    while (strstr(head, "\r\n\r\n") == NULL) {
        ssize_t received = recv(fd, head + count, size - 1 - count, 0);

        if (received <= 0) {
            return false;
        }
        count += (size_t)received;
        head[count] = '\0';
    }
    return true;
}

static char *
make_beginning(const struct mode *mode, const char *head)
{
    char id[ID_BYTES] = "";
    const char *header = strstr(head, "Attempt-Id: ");
    char *answers;
    char **parts = g_strsplit(mode->beginning, ANSWERS, 2);
    char *beginning;

    if (header != NULL) {
        sscanf(header, "Attempt-Id: %63[^\r]", id);
    }
    answers =
        g_strdup_printf("Attempt-Id: %s\r\nResponse-Signature: s\r\n", id);
    beginning = g_strconcat(
        parts[0] != NULL ? parts[0] : "",
        parts[0] != NULL && parts[1] != NULL ? answers : "",
        parts[0] != NULL && parts[1] != NULL ? parts[1] : "", NULL);
    g_free(answers);
    g_strfreev(parts);
    return beginning;
}

static void
answer(int fd, const struct mode *mode, uint64_t pause_ms)
{
    char head[MAX_REQUEST_BYTES];
    const struct linger no_linger = {.l_onoff = 1, .l_linger = 0};
    char *beginning;
    bool open;

    if (!read_head(fd, head, sizeof(head))) {
        return;
    }
    if (health_response(head) != NULL) {
        send_text(fd, health_response(head), 0);
        return;
    }
    beginning = make_beginning(mode, head);
    open = send_text(fd, beginning, 0);
    if (mode->unit == NULL) {
        usleep(RESET_DELAY_US);
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
        open = false;
    }
    while (open) {
        open = send_text(fd, mode->unit, pause_ms);
    }
    g_free(beginning);
    printf("ended %s\n", mode->name);
    fflush(stdout);
}

struct connection {
    int fd;
    const struct mode *mode;
    uint64_t pause_ms;
};

static void *
serve(void *data)
{
    struct connection *connection = data;

    answer(connection->fd, connection->mode, connection->pause_ms);
    close(connection->fd);
    g_free(connection);
    return NULL;
}

static void
start_serving(const struct connection *connection)
{
    struct connection *copy = g_memdup2(connection, sizeof(*connection));
    pthread_t thread;

    if (pthread_create(&thread, NULL, serve, copy) != 0) {
        close(copy->fd);
        g_free(copy);
        return;
    }
    pthread_detach(thread);
}

int
main(int argc, char **argv)
{
    static const char *const names[] = {"mode", "pause"};
    uint64_t values[G_N_ELEMENTS(names)] = {0, 0};
    struct fake_address address =
        fake_parse_arguments(argc, argv, names, values, G_N_ELEMENTS(names));
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(address.port)};
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    signal(SIGPIPE, SIG_IGN);
    inet_pton(AF_INET, address.ip, &at.sin_addr);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (values[0] >= G_N_ELEMENTS(modes) ||
        bind(listener, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(listener, BACKLOG) != 0) {
        fprintf(stderr, "can't serve mode %u on %s:%u\n", (unsigned)values[0],
                address.ip, address.port);
        return EXIT_FAILURE;
    }
    printf("ready %s\n", modes[values[0]].name);
    fflush(stdout);
    for (;;) {
        int fd = accept(listener, NULL, NULL);

        if (fd >= 0) {
            start_serving(&(struct connection){
                .fd = fd, .mode = &modes[values[0]], .pause_ms = values[1]});
        }
    }
}
