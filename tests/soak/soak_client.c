#include "tests/soak/soak_client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/fakes/fake_server.h"

enum {
    READ_BYTES = 16 * 1024,
    SLOW_RECEIVE_BYTES = 4 * 1024,
    EXTRA_BYTES_MS = 30, /* wait for bytes after the response to a HEAD */
    US_PER_MS = 1000,
    CONNECT_TIMEOUT_MS = 1000,
};

struct soak_client {
    char *ip;
    uint16_t port;
    int fd; /* -1: none */
    http_parser parser;
    char header_name[64]; /* of the header that is being parsed */
    struct soak_response *response;
    bool is_head;
    bool is_complete;
    bool has_extra; /* another response begins after the complete one */
};

static int
on_field(http_parser *parser, const char *at, size_t length)
{
    struct soak_client *client = parser->data;

    g_strlcpy(client->header_name, at,
              MIN(length + 1, sizeof(client->header_name)));
    return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
    struct soak_client *client = parser->data;
    struct soak_response *response = client->response;

    if (g_ascii_strcasecmp(client->header_name, "Response-Signature") == 0) {
        response->has_signature = true;
    }
    else if (g_ascii_strcasecmp(client->header_name, "Server-Leaving") == 0) {
        response->says_leaving = true;
    }
    else if (g_ascii_strcasecmp(client->header_name, "Attempt-Id") == 0) {
        g_strlcpy(response->attempt_id, at,
                  MIN(length + 1, sizeof(response->attempt_id)));
    }
    return 0;
}

static int
on_headers(http_parser *parser)
{
    struct soak_client *client = parser->data;

    client->response->status = parser->status_code;
    return client->is_head ? 1 : 0; /* 1: has no body */
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    struct soak_client *client = parser->data;

    g_string_append_len(client->response->body, at, (gssize)length);
    return 0;
}

static int
on_begin(http_parser *parser)
{
    struct soak_client *client = parser->data;

    client->has_extra = client->is_complete;
    return 0;
}

static int
on_complete(http_parser *parser)
{
    struct soak_client *client = parser->data;

    client->is_complete = true;
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

struct soak_client *
soak_client_create(const char *ip, uint16_t port)
{
    struct soak_client *client = g_new0(struct soak_client, 1);

    client->ip = g_strdup(ip);
    client->port = port;
    client->fd = -1;
    return client;
}

static void
disconnect(struct soak_client *client)
{
    if (client->fd >= 0) {
        close(client->fd);
        client->fd = -1;
    }
}

void
soak_client_destroy(struct soak_client *client)
{
    disconnect(client);
    g_free(client->ip);
    g_free(client);
}

bool
soak_client_is_open(const struct soak_client *client)
{
    return client->fd >= 0;
}

static bool
wait_for(int fd, short events, uint64_t deadline_ms)
{
    struct pollfd item = {.fd = fd, .events = events};
    uint64_t now_ms = fake_clock_ms();

    return now_ms < deadline_ms &&
           poll(&item, 1, (int)(deadline_ms - now_ms)) > 0;
}

static struct sockaddr_in
address(const struct soak_client *client)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(client->port)};

    inet_pton(AF_INET, client->ip, &at.sin_addr);
    return at;
}

static bool
open_connection(struct soak_client *client, bool slow)
{
    struct sockaddr_in at = address(client);
    const int slow_bytes = SLOW_RECEIVE_BYTES;
    int error = 0;
    socklen_t size = sizeof(error);

    client->fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (slow) {
        setsockopt(client->fd, SOL_SOCKET, SO_RCVBUF, &slow_bytes,
                   sizeof(slow_bytes));
    }
    if (connect(client->fd, (const struct sockaddr *)&at, sizeof(at)) == 0) {
        return true;
    }
    if (errno == EINPROGRESS &&
        wait_for(client->fd, POLLOUT, fake_clock_ms() + CONNECT_TIMEOUT_MS) &&
        getsockopt(client->fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
        error == 0) {
        return true;
    }
    disconnect(client);
    return false;
}

static bool
send_all(const struct soak_client *client, const char *bytes,
         uint64_t deadline_ms)
{
    size_t remaining = strlen(bytes);

    while (remaining > 0) {
        ssize_t sent = send(client->fd, bytes, remaining, MSG_NOSIGNAL);

        if (sent > 0) {
            bytes += sent;
            remaining -= (size_t)sent;
        }
        else if (errno != EAGAIN ||
                 !wait_for(client->fd, POLLOUT, deadline_ms)) {
            return false;
        }
    }
    return true;
}

void
soak_client_send(struct soak_client *client, const struct soak_call *call)
{
    struct sockaddr_in at = address(client);

    client->fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    (void)connect(client->fd, (const struct sockaddr *)&at, sizeof(at));
    (void)send(client->fd, call->text, strlen(call->text), MSG_NOSIGNAL);
}

/* Reads once. Returns whether more of the response may follow. */
static bool
read_response(struct soak_client *client, const struct soak_call *call,
              struct soak_response *response)
{
    char bytes[READ_BYTES];
    size_t limit = call->read_bytes > 0 ? call->read_bytes : sizeof(bytes);
    ssize_t count = recv(client->fd, bytes, limit, 0);
    size_t parsed;

    if (count < 0 && errno == EAGAIN) {
        return true;
    }
    parsed = http_parser_execute(&client->parser, &parser_settings, bytes,
                                 count > 0 ? (size_t)count : 0);
    if (count > 0 && (parsed != (size_t)count || client->has_extra)) {
        response->outcome = SOAK_OUTCOME_INVALID;
        return false;
    }
    if (client->is_complete) {
        response->outcome = SOAK_OUTCOME_COMPLETE;
        return false;
    }
    if (count <= 0) {
        response->outcome = SOAK_OUTCOME_CUT;
        return false;
    }
    return true;
}

static bool
has_unread_bytes(const struct soak_client *client)
{
    char byte;

    return recv(client->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static void
exchange(struct soak_client *client, const struct soak_call *call,
         struct soak_response *response)
{
    uint64_t deadline_ms = fake_clock_ms() + call->disconnect_ms;
    uint32_t pause_ms = call->read_pause_ms + call->stall_ms;

    if (has_unread_bytes(client)) {
        response->outcome = SOAK_OUTCOME_INVALID;
        return;
    }
    response->outcome = SOAK_OUTCOME_CUT;
    if (!send_all(client, call->text, deadline_ms)) {
        return;
    }
    response->outcome = SOAK_OUTCOME_CALLER_LEFT;
    while (wait_for(client->fd, POLLIN, deadline_ms) &&
           read_response(client, call, response)) {
        usleep((useconds_t)pause_ms * US_PER_MS);
        pause_ms = call->read_pause_ms;
    }
    if (response->outcome == SOAK_OUTCOME_COMPLETE && call->is_head &&
        wait_for(client->fd, POLLIN, fake_clock_ms() + EXTRA_BYTES_MS) &&
        has_unread_bytes(client)) {
        response->outcome = SOAK_OUTCOME_INVALID;
    }
}

void
soak_client_call(struct soak_client *client, const struct soak_call *call,
                 struct soak_response *response)
{
    *response = (struct soak_response){.body = g_string_new(NULL)};
    if (client->fd < 0 && !open_connection(client, call->read_pause_ms != 0)) {
        response->outcome = SOAK_OUTCOME_UNSENT;
        return;
    }
    client->response = response;
    client->is_head = call->is_head;
    client->is_complete = false;
    client->has_extra = false;
    http_parser_init(&client->parser, HTTP_RESPONSE);
    client->parser.data = client;
    exchange(client, call, response);
    if (response->outcome != SOAK_OUTCOME_COMPLETE ||
        !http_should_keep_alive(&client->parser)) {
        disconnect(client);
    }
}

void
soak_client_clear_response(struct soak_response *response)
{
    g_string_free(response->body, TRUE);
}
