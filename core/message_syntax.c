#include "core/message_syntax.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

enum state {
    STATE_START, /* blank lines before a message are skipped */
    STATE_REQUEST_LINE,
    STATE_STATUS_LINE, /* up to the status */
    STATE_REASON,
    STATE_LINE_START, /* of a header or the blank line */
    STATE_NAME,
    STATE_VALUE,
    STATE_LINE_END, /* after CR */
    STATE_LAST_END, /* after CR of the blank line */
    STATE_BODY,
    STATE_CHUNK, /* its size is due */
    STATE_CHUNK_SIZE,
    STATE_CHUNK_BLANK, /* between the size and an extension or the end */
    STATE_CHUNK_EXTENSION,
    STATE_CHUNK_SIZE_END, /* after CR */
    STATE_CHUNK_DATA,
    STATE_CHUNK_DATA_END, /* CR is due */
    STATE_CHUNK_END,      /* after CR */
    STATE_INVALID,
};

enum {
    HEXADECIMAL = 16,
    DELETE = 0x7f,
};

struct message_syntax {
    bool of_responses;
    enum state state;
    uint64_t chunk_bytes;     /* that are still due */
    size_t status_line_bytes; /* up to the status */
};

/* The beginning of a status line: d is a digit, s the class of a status, which
   is from 100 to 599 (RFC 9110, section 15). */
static const char status_line[] = "HTTP/1.d sdd";

struct message_syntax *
message_syntax_create(bool of_responses)
{
    struct message_syntax *syntax = g_new0(struct message_syntax, 1);

    syntax->of_responses = of_responses;
    return syntax;
}

void
message_syntax_destroy(struct message_syntax *syntax)
{
    g_free(syntax);
}

void
message_syntax_begin(struct message_syntax *syntax)
{
    syntax->state = STATE_START;
    syntax->status_line_bytes = 0;
}

void
message_syntax_begin_chunks(struct message_syntax *syntax)
{
    syntax->state = STATE_CHUNK;
    syntax->chunk_bytes = 0;
}

/* A token's character, RFC 9110, section 5.6.2. */
static bool
is_name_byte(uint8_t byte)
{
    return g_ascii_isalnum(byte) ||
           (byte != '\0' && strchr("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* Of a header's value or a reason phrase. */
static bool
is_text_byte(uint8_t byte)
{
    return byte == '\t' || (byte >= ' ' && byte != DELETE);
}

static enum state
next_in_status_line(struct message_syntax *syntax, uint8_t byte)
{
    char expected = status_line[syntax->status_line_bytes];

    syntax->status_line_bytes++;
    switch (expected) {
    case '\0':
        if (byte == '\r') {
            return STATE_LINE_END;
        }
        return byte == ' ' ? STATE_REASON : STATE_INVALID;
    case 'd':
        return g_ascii_isdigit(byte) ? STATE_STATUS_LINE : STATE_INVALID;
    case 's':
        return byte >= '1' && byte <= '5' ? STATE_STATUS_LINE : STATE_INVALID;
    default:
        return byte == (uint8_t)expected ? STATE_STATUS_LINE : STATE_INVALID;
    }
}

/* end: the state after CR. */
static enum state
next_in_text(enum state state, enum state end, uint8_t byte)
{
    if (byte == '\r') {
        return end;
    }
    return is_text_byte(byte) ? state : STATE_INVALID;
}

static enum state
next_in_chunk_size(struct message_syntax *syntax, uint8_t byte)
{
    if (!g_ascii_isxdigit(byte) ||
        syntax->chunk_bytes > UINT64_MAX / HEXADECIMAL) {
        return STATE_INVALID;
    }
    syntax->chunk_bytes = syntax->chunk_bytes * HEXADECIMAL +
                          (uint64_t)g_ascii_xdigit_value((char)byte);
    return STATE_CHUNK_SIZE;
}

static enum state
next_after_chunk_size(uint8_t byte)
{
    switch (byte) {
    case ' ':
    case '\t':
        return STATE_CHUNK_BLANK;
    case ';':
        return STATE_CHUNK_EXTENSION;
    case '\r':
        return STATE_CHUNK_SIZE_END;
    default:
        return STATE_INVALID;
    }
}

static enum state
next_in_chunk(struct message_syntax *syntax, uint8_t byte)
{
    switch (syntax->state) {
    case STATE_CHUNK:
        return next_in_chunk_size(syntax, byte);
    case STATE_CHUNK_SIZE:
        return g_ascii_isxdigit(byte) ? next_in_chunk_size(syntax, byte)
                                      : next_after_chunk_size(byte);
    case STATE_CHUNK_BLANK:
        return next_after_chunk_size(byte);
    case STATE_CHUNK_EXTENSION:
        return next_in_text(syntax->state, STATE_CHUNK_SIZE_END, byte);
    case STATE_CHUNK_SIZE_END:
        if (byte != '\n') {
            return STATE_INVALID;
        }
        /* Trailers follow the last chunk. */
        return syntax->chunk_bytes > 0 ? STATE_CHUNK_DATA : STATE_LINE_START;
    case STATE_CHUNK_DATA_END:
        return byte == '\r' ? STATE_CHUNK_END : STATE_INVALID;
    case STATE_CHUNK_END:
        return byte == '\n' ? STATE_CHUNK : STATE_INVALID;
    default:
        return STATE_INVALID;
    }
}

static enum state
next_in_start(struct message_syntax *syntax, uint8_t byte)
{
    if (byte == '\r' || byte == '\n') {
        return STATE_START;
    }
    return syntax->of_responses ? next_in_status_line(syntax, byte)
                                : STATE_REQUEST_LINE;
}

static enum state
next_in_request_line(uint8_t byte)
{
    switch (byte) {
    case '\r':
        return STATE_LINE_END;
    case '\n':
        return STATE_LINE_START;
    default:
        return STATE_REQUEST_LINE;
    }
}

static enum state
next_in_line_start(const struct message_syntax *syntax, uint8_t byte)
{
    if (byte == '\r') {
        return STATE_LAST_END;
    }
    if (byte == '\n' && !syntax->of_responses) {
        return STATE_BODY;
    }
    /* A line that begins with a blank would continue the one before (RFC 9112,
       section 5.2): it is deprecated, and refused. */
    return is_name_byte(byte) ? STATE_NAME : STATE_INVALID;
}

static enum state
next_state(struct message_syntax *syntax, uint8_t byte)
{
    switch (syntax->state) {
    case STATE_START:
        return next_in_start(syntax, byte);
    case STATE_REQUEST_LINE:
        return next_in_request_line(byte);
    case STATE_STATUS_LINE:
        return next_in_status_line(syntax, byte);
    case STATE_VALUE:
        if (byte == '\n' && !syntax->of_responses) {
            return STATE_LINE_START;
        }
        return next_in_text(syntax->state, STATE_LINE_END, byte);
    case STATE_REASON:
        return next_in_text(syntax->state, STATE_LINE_END, byte);
    case STATE_LINE_START:
        return next_in_line_start(syntax, byte);
    case STATE_NAME:
        if (byte == ':') {
            return STATE_VALUE;
        }
        return is_name_byte(byte) ? STATE_NAME : STATE_INVALID;
    case STATE_LINE_END:
        return byte == '\n' ? STATE_LINE_START : STATE_INVALID;
    case STATE_LAST_END:
        return byte == '\n' ? STATE_BODY : STATE_INVALID;
    default:
        return next_in_chunk(syntax, byte);
    }
}

/* Returns how many bytes are a chunk's data. */
static size_t
skip_data(struct message_syntax *syntax, size_t count)
{
    size_t skipped;

    if (syntax->state != STATE_CHUNK_DATA) {
        return 0;
    }
    skipped = (size_t)MIN(syntax->chunk_bytes, count);
    syntax->chunk_bytes -= skipped;
    if (syntax->chunk_bytes == 0) {
        syntax->state = STATE_CHUNK_DATA_END;
    }
    return skipped;
}

enum message_syntax_result
message_syntax_check(struct message_syntax *syntax, const void *bytes,
                     size_t count, size_t *valid)
{
    const uint8_t *at = bytes;

    *valid = 0;
    while (*valid < count && syntax->state != STATE_BODY) {
        *valid += skip_data(syntax, count - *valid);
        if (*valid == count) {
            break;
        }
        syntax->state = next_state(syntax, at[*valid]);
        if (syntax->state == STATE_INVALID) {
            return MESSAGE_SYNTAX_INVALID;
        }
        (*valid)++;
        if (syntax->state == STATE_BODY) {
            return MESSAGE_SYNTAX_END;
        }
    }
    *valid = count;
    return MESSAGE_SYNTAX_VALID;
}
