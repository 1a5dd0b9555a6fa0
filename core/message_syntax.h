#ifndef CORE_MESSAGE_SYNTAX_H
#define CORE_MESSAGE_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>

/* Checks the head of a response by the grammar of RFC 9112, before a parser
   that accepts more reads it: http-parser, as distributions build it, takes
   blanks in names of headers, and skips bytes that should be a line's end.
   Bytes may arrive in any pieces. */

struct message_syntax;

enum message_syntax_result {
    MESSAGE_SYNTAX_VALID, /* all bytes */
    MESSAGE_SYNTAX_END,   /* a head ends after the valid bytes */
    MESSAGE_SYNTAX_INVALID,
};

struct message_syntax *message_syntax_create(void);
void message_syntax_destroy(struct message_syntax *syntax);

/* Begins the next response. */
void message_syntax_begin(struct message_syntax *syntax);

/* Checks bytes up to the first invalid one or the end of the head, and sets
 *valid to their number. Of a body all bytes are valid. */
enum message_syntax_result message_syntax_check(struct message_syntax *syntax,
                                                const void *bytes,
                                                size_t count, size_t *valid);

#endif
