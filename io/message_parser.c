#include "io/message_parser.h"

#include <glib.h>
#include <http_parser.h>
#include <string.h>

#include "core/message_syntax.h"
#include "core/response_framing.h"
#include "io/head_reader.h"
#include "io/http_message.h"

enum {
    /* Informational responses (1xx) before the final one. */
    MAX_INFORMATIONAL = 16,
    MAX_HEADERS = 512,
    STATUS_SWITCHING_PROTOCOLS = 101,
};

struct message_parser {
    bool of_responses;
    bool head_only;
    bool in_head;
    uint32_t max_head_bytes;
    uint32_t informational; /* responses since the last final one */
    struct message_parser_handlers handlers;
    void *data;
    enum message_parser_result failure; /* of a callback that returned -1 */
    struct message_syntax *syntax;      /* of responses; NULL: of requests */
    http_parser http;
    struct head_reader *head;
};

/* Callbacks of http-parser. */

static int
fail(struct message_parser *parser, enum message_parser_result failure)
{
    parser->failure = failure;
    return -1;
}

static int
on_begin(http_parser *http)
{
    struct message_parser *parser = http->data;

    head_reader_begin(parser->head);
    parser->in_head = true;
    return parser->handlers.begun(parser->data)
               ? 0
               : fail(parser, MESSAGE_PARSER_STOPPED);
}

static int
on_url(http_parser *http, const char *at, size_t count)
{
    struct message_parser *parser = http->data;

    head_reader_add_target(parser->head, at, count);
    return 0;
}

static int
on_field(http_parser *http, const char *at, size_t count)
{
    struct message_parser *parser = http->data;

    head_reader_add_name(parser->head, at, count);
    return 0;
}

static int
on_value(http_parser *http, const char *at, size_t count)
{
    struct message_parser *parser = http->data;

    head_reader_add_value(parser->head, at, count);
    return 0;
}

static void
fill_head(struct message_parser *parser, struct http_head *head)
{
    const http_parser *http = &parser->http;

    head_reader_fill(parser->head, head);
    head->method = http_method_str((enum http_method)http->method);
    head->status = http->status_code;
    head->keep_alive = http_should_keep_alive(http) != 0;
    head->has_length = (http->flags & F_CONTENTLENGTH) != 0;
    head->length_bytes = head->has_length ? http->content_length : 0;
    head->until_close =
        parser->of_responses && !head->has_length &&
        (http->flags & F_CHUNKED) == 0 &&
        response_framing_has_body(parser->head_only, head->status);
}

static bool
is_head_too_big(const struct message_parser *parser)
{
    return head_reader_bytes(parser->head) > parser->max_head_bytes ||
           head_reader_count(parser->head) > MAX_HEADERS;
}

/* Another protocol is never asked for. */
static bool
switches_protocol(const struct message_parser *parser)
{
    return parser->of_responses &&
           parser->http.status_code == STATUS_SWITCHING_PROTOCOLS;
}

static bool
is_informational(const struct message_parser *parser)
{
    return parser->of_responses && parser->http.status_code / 100 == 1;
}

/* Whether the head ends the message, whatever it says of a body. */
static bool
skips_body(const struct message_parser *parser)
{
    return parser->of_responses &&
           !response_framing_has_body(parser->head_only,
                                      parser->http.status_code);
}

/* Whether the body can be told from its transfer codings, of which only chunks
   are decoded. http-parser takes any, and leaves blanks after a value. */
static bool
has_known_coding(const struct http_head *head)
{
    static const char chunked[] = "chunked";
    size_t codings = http_head_count(head, "Transfer-Encoding");
    const char *coding = http_head_value(head, "Transfer-Encoding");

    if (codings != 1) {
        return codings == 0;
    }
    if (g_ascii_strncasecmp(coding, chunked, strlen(chunked)) != 0) {
        return false;
    }
    coding += strlen(chunked);
    return coding[strspn(coding, " \t")] == '\0';
}

static int
on_head(http_parser *http)
{
    struct message_parser *parser = http->data;
    struct http_head head = {0};

    parser->in_head = false;
    if (switches_protocol(parser)) {
        return fail(parser, MESSAGE_PARSER_INVALID);
    }
    if (is_informational(parser)) {
        parser->informational++;
        return parser->informational <= MAX_INFORMATIONAL
                   ? 1
                   : fail(parser, MESSAGE_PARSER_TOO_LONG);
    }
    parser->informational = 0;
    if (is_head_too_big(parser)) {
        return fail(parser, MESSAGE_PARSER_TOO_LONG);
    }
    fill_head(parser, &head);
    if (!skips_body(parser) && !has_known_coding(&head)) {
        return fail(parser, MESSAGE_PARSER_INVALID);
    }
    if (!parser->handlers.head(parser->data, &head)) {
        return fail(parser, MESSAGE_PARSER_STOPPED);
    }
    if ((http->flags & F_CHUNKED) != 0) {
        message_syntax_begin_chunks(parser->syntax);
    }
    return skips_body(parser) ? 1 : 0;
}

static int
on_body(http_parser *http, const char *at, size_t count)
{
    struct message_parser *parser = http->data;

    return parser->handlers.body(parser->data, (const uint8_t *)at, count)
               ? 0
               : fail(parser, MESSAGE_PARSER_STOPPED);
}

static int
on_complete(http_parser *http)
{
    struct message_parser *parser = http->data;

    message_syntax_begin(parser->syntax);
    if (!is_informational(parser)) {
        http_parser_pause(http, 1);
    }
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

struct message_parser *
message_parser_create(bool of_responses, uint32_t max_head_bytes,
                      const struct message_parser_handlers *handlers,
                      void *data)
{
    struct message_parser *parser = g_new0(struct message_parser, 1);

    parser->of_responses = of_responses;
    parser->max_head_bytes = max_head_bytes;
    parser->handlers = *handlers;
    parser->data = data;
    parser->head = head_reader_create();
    parser->syntax = message_syntax_create(of_responses);
    http_parser_init(&parser->http,
                     of_responses ? HTTP_RESPONSE : HTTP_REQUEST);
    parser->http.data = parser;
    return parser;
}

void
message_parser_destroy(struct message_parser *parser)
{
    if (parser == NULL) {
        return;
    }
    head_reader_destroy(parser->head);
    message_syntax_destroy(parser->syntax);
    g_free(parser);
}

void
message_parser_set_head_only(struct message_parser *parser, bool head_only)
{
    parser->head_only = head_only;
}

static enum message_parser_result
failure_of(const struct message_parser *parser)
{
    if (parser->failure != MESSAGE_PARSER_MORE) {
        return parser->failure;
    }
    /* http-parser bounds what surrounds a body, too: chunk extensions and
       trailers. */
    return HTTP_PARSER_ERRNO(&parser->http) == HPE_HEADER_OVERFLOW
               ? MESSAGE_PARSER_TOO_LONG
               : MESSAGE_PARSER_INVALID;
}

/* count 0 is the end of the connection. */
static enum message_parser_result
execute(struct message_parser *parser, const uint8_t *bytes, size_t count,
        size_t *parsed)
{
    *parsed = http_parser_execute(&parser->http, &parser_settings,
                                  (const char *)bytes, count);
    switch (HTTP_PARSER_ERRNO(&parser->http)) {
    case HPE_PAUSED:
        http_parser_pause(&parser->http, 0);
        return MESSAGE_PARSER_COMPLETE;
    case HPE_OK:
        return parser->in_head && is_head_too_big(parser)
                   ? MESSAGE_PARSER_TOO_LONG
                   : MESSAGE_PARSER_MORE;
    default:
        return failure_of(parser);
    }
}

enum message_parser_result
message_parser_parse(struct message_parser *parser, const uint8_t *bytes,
                     size_t count, size_t *parsed)
{
    *parsed = 0;
    while (*parsed < count) {
        enum message_parser_result result = MESSAGE_PARSER_MORE;
        const uint8_t *rest = bytes + *parsed;
        size_t executed = 0;
        size_t valid;
        enum message_syntax_result syntax = message_syntax_check(
            parser->syntax, rest, count - *parsed, &valid);

        if (valid > 0) {
            result = execute(parser, rest, valid, &executed);
        }
        *parsed += executed;
        if (result != MESSAGE_PARSER_MORE) {
            return result;
        }
        if (syntax == MESSAGE_SYNTAX_INVALID ||
            (syntax == MESSAGE_SYNTAX_END && parser->in_head)) {
            return MESSAGE_PARSER_INVALID;
        }
    }
    return MESSAGE_PARSER_MORE;
}

enum message_parser_result
message_parser_end(struct message_parser *parser)
{
    size_t parsed;

    return execute(parser, (const uint8_t *)"", 0, &parsed);
}
