/* Tests how responses to callers are delimited, by reading them with an HTTP
   parser: bytes beyond the end of a response were taken for the beginning of
   the next one, and a response that was broken off must not look complete. */

#include <glib.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "core/bytes.h"
#include "core/response_framing.h"

enum {
    BODY_BYTES = 6,
};

static const char body[] = "worker";

enum source {
    SOURCE_LENGTH,
    SOURCE_CHUNKED,
    SOURCE_CLOSE,
    SOURCE_NONE, /* without a body */
};

struct reader {
    GString *body;
    bool complete;
    const char *length; /* Content-Length as text, NULL: none */
    bool head_only;
    bool at_length;
    char text[32];
};

static int
on_field(http_parser *parser, const char *at, size_t count)
{
    struct reader *reader = parser->data;

    reader->at_length = count == strlen("Content-Length") &&
                        g_ascii_strncasecmp(at, "Content-Length", count) == 0;
    return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t count)
{
    struct reader *reader = parser->data;

    if (reader->at_length) {
        g_strlcpy(reader->text, at, MIN(count + 1, sizeof(reader->text)));
        reader->length = reader->text;
    }
    return 0;
}

/* The parser itself would wait for the body of a 304 with a length. */
static int
on_head(http_parser *parser)
{
    const struct reader *reader = parser->data;

    return reader->head_only || parser->status_code == 304 ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t count)
{
    struct reader *reader = parser->data;

    g_string_append_len(reader->body, at, (gssize)count);
    return 0;
}

static int
on_complete(http_parser *parser)
{
    ((struct reader *)parser->data)->complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

/* Returns the number of bytes beyond the response. */
static size_t
read_response(struct reader *reader, const GByteArray *bytes)
{
    static const http_parser_settings settings = {
        .on_header_field = on_field,
        .on_header_value = on_value,
        .on_headers_complete = on_head,
        .on_body = on_body,
        .on_message_complete = on_complete};
    http_parser parser;
    size_t read;

    http_parser_init(&parser, HTTP_RESPONSE);
    parser.data = reader;
    read = http_parser_execute(&parser, &settings, (const char *)bytes->data,
                               bytes->len);
    return bytes->len - read;
}

/* Writes the response as the gateway does, and more calls than there should
   be. Returns whether the connection may stay open. */
static bool
write_response(const struct response_framing_facts *facts, bool complete,
               GByteArray *out)
{
    struct response_framing framing;
    char line[64];
    bool open;

    g_snprintf(line, sizeof(line), "HTTP/1.1 %u Status\r\n", facts->status);
    bytes_add_text(out, line);
    response_framing_begin(&framing, facts, out);
    bytes_add_text(out, "\r\n");
    response_framing_add(&framing, body, complete ? BODY_BYTES : 3, out);
    if (complete && !facts->is_stream) {
        response_framing_add(&framing, "beyond", 6, out);
    }
    open = response_framing_end(&framing, complete, out);
    response_framing_add(&framing, "beyond", 6, out);
    if (complete) {
        g_assert_true(response_framing_end(&framing, true, out));
    }
    return open;
}

static void
check(const struct response_framing_facts *facts, bool complete)
{
    bool has_body = !facts->head_only && facts->status / 100 != 1 &&
                    facts->status != 204 && facts->status != 304;
    bool has_content = has_body && facts->status != 205 &&
                       (facts->is_stream || facts->body_bytes > 0);
    bool is_whole = complete || !has_content;
    struct reader reader = {.body = g_string_new(NULL),
                            .head_only = facts->head_only};
    GByteArray *out = g_byte_array_new();
    bool open = write_response(facts, complete, out);
    size_t beyond = read_response(&reader, out);

    g_test_message("head_only=%d status=%u stream=%d complete=%d",
                   facts->head_only, facts->status, facts->is_stream,
                   complete);
    g_assert_cmpint(open, ==, is_whole);
    g_assert_cmpint(reader.complete, ==, is_whole);
    g_assert_cmpuint(is_whole ? beyond : 0, ==, 0);
    g_assert_cmpmem(reader.body->str, reader.body->len, body,
                    has_content ? (complete ? BODY_BYTES : 3) : 0);
    if (!has_body && facts->status / 100 != 1 && facts->status != 204 &&
        facts->has_length) {
        g_assert_cmpstr(reader.length, ==, "24");
    }
    if (facts->status == 204) {
        g_assert_null(reader.length);
    }
    g_string_free(reader.body, TRUE);
    g_byte_array_unref(out);
}

/* What the gateway knows of the endpoint's response to the method. */
static struct response_framing_facts
facts_of(const char *method, uint32_t status, enum source source,
         bool is_stream)
{
    bool head_only = strcmp(method, "HEAD") == 0;
    bool has_body = !head_only && source != SOURCE_NONE &&
                    response_framing_has_body(false, status);

    return (struct response_framing_facts){
        .head_only = head_only,
        .status = status,
        .is_stream = is_stream,
        .body_bytes = has_body && !is_stream ? BODY_BYTES : 0,
        .has_length = source == SOURCE_LENGTH,
        .length_bytes = source == SOURCE_LENGTH ? 24 : 0};
}

static void
test_all(void)
{
    static const char *const methods[] = {"HEAD", "GET", "POST", "OPTIONS"};
    static const uint32_t statuses[] = {100, 103, 200, 201, 204, 205,
                                        304, 302, 404, 421, 500, 503};

    for (size_t m = 0; m < G_N_ELEMENTS(methods); m++) {
        for (size_t s = 0; s < G_N_ELEMENTS(statuses); s++) {
            for (enum source f = SOURCE_LENGTH; f <= SOURCE_NONE; f++) {
                for (int variant = 0; variant < 4; variant++) {
                    struct response_framing_facts facts = facts_of(
                        methods[m], statuses[s], f, (variant & 1) != 0);

                    check(&facts, (variant & 2) != 0);
                }
            }
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/response-framing/all", test_all);
    return g_test_run();
}
