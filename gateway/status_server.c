#include "gateway/status_server.h"

#include <glib.h>
#include <string.h>

#include "core/bytes.h"
#include "gateway/callers.h"
#include "io/http_message.h"

enum {
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
};

struct status_server {
    char *path;
    uint32_t (*write_body)(void *data, GString *out);
    void *data;
    struct callers *callers;
    /* The path with a query; NULL: none. */
    const char *query_path;
    void (*answer)(void *data, const char *query, GString *out,
                   struct status_reply *reply);
    void *answer_data;
};

struct status_request {
    struct status_server *server;
    struct caller *caller;
    bool is_served;
    bool is_question; /* for the path with a query */
    char *query;      /* NULL: none */
};

static void
read_question(struct status_request *request, const char *target)
{
    const char *path = request->server->query_path;
    size_t length = strcspn(target, "?");

    if (path == NULL || strlen(path) != length ||
        strncmp(target, path, length) != 0) {
        return;
    }
    request->is_question = true;
    if (target[length] == '?') {
        request->query = g_strdup(target + length + 1);
    }
}

static void *
on_begin(void *data, struct caller *caller, const struct http_head *head)
{
    struct status_server *server = data;
    struct status_request *request = g_new0(struct status_request, 1);

    request->server = server;
    request->caller = caller;
    request->is_served = strcmp(head->method, "GET") == 0 &&
                         strcmp(head->target, server->path) == 0;
    if (strcmp(head->method, "GET") == 0) {
        read_question(request, head->target);
    }
    return request;
}

static void
write_reply(const struct status_request *request, GString *text,
            struct status_reply *reply)
{
    const struct status_server *server = request->server;

    *reply = (struct status_reply){
        .status = STATUS_OK, .content_type = "text/plain; version=0.0.4"};
    if (request->is_served) {
        reply->status = server->write_body(server->data, text);
    }
    else if (request->is_question) {
        server->answer(server->answer_data, request->query, text, reply);
    }
    else {
        reply->status = STATUS_NOT_FOUND;
    }
}

static void
on_request(void *exchange, GByteArray *body)
{
    struct status_request *request = exchange;
    GString *text = g_string_new(NULL);
    GString *lines = g_string_new(NULL);
    GByteArray *head = g_byte_array_new();
    struct caller_response response = {.head = head};
    struct status_reply reply;

    (void)body;
    write_reply(request, text, &reply);
    g_string_append_printf(lines, "HTTP/1.1 %u Status\r\nContent-Type: %s\r\n",
                           reply.status, reply.content_type);
    if (reply.retry_after_s > 0) {
        g_string_append_printf(lines, "Retry-After: %u\r\n",
                               reply.retry_after_s);
    }
    bytes_add_text(head, lines->str);
    response.status = reply.status;
    caller_send_response(request->caller, &response, text->str, text->len);
    g_string_free(lines, TRUE);
    g_byte_array_unref(head);
    g_string_free(text, TRUE);
}

static void
on_ended(void *exchange, bool aborted)
{
    struct status_request *request = exchange;

    (void)aborted;
    g_free(request->query);
    g_free(request);
}

static void
on_all_sent(void *exchange)
{
    (void)exchange;
}

static const struct callers_handlers handlers = {.begin = on_begin,
                                                 .request = on_request,
                                                 .ended = on_ended,
                                                 .all_sent = on_all_sent};

struct status_server *
status_server_create(struct loop *loop, const char *ip, uint16_t port,
                     const char *path,
                     uint32_t (*write_body)(void *data, GString *out),
                     void *data)
{
    struct status_server *server = g_new0(struct status_server, 1);

    server->path = g_strdup(path);
    server->write_body = write_body;
    server->data = data;
    server->callers = callers_create(loop, ip, port, &handlers, server);
    if (server->callers == NULL) {
        g_free(server->path);
        g_free(server);
        return NULL;
    }
    return server;
}

void
status_server_add(struct status_server *server, const char *path,
                  void (*answer)(void *data, const char *query, GString *out,
                                 struct status_reply *reply),
                  void *data)
{
    server->query_path = path;
    server->answer = answer;
    server->answer_data = data;
}
