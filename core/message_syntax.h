#ifndef CORE_MESSAGE_SYNTAX_H
#define CORE_MESSAGE_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>

/* Checks the head of a message, and the framing of its chunks, by the grammar
   of RFC 9112, before a parser that accepts more reads them: http-parser, as
   distributions build it, takes blanks in names of headers, and skips bytes
   that should be the end of a line or a chunk. Bytes may arrive in any pieces.
 */

struct message_syntax;

enum message_syntax_result {
    MESSAGE_SYNTAX_VALID, /* all bytes */
    /* A head, or a body in chunks, ends after the valid bytes. */
    MESSAGE_SYNTAX_END,
    MESSAGE_SYNTAX_INVALID,
};

/* Of responses or of requests, whose request lines are not checked and whose
   lines may end with LF alone (RFC 9112, section 2.2). */
struct message_syntax *message_syntax_create(bool of_responses);
void message_syntax_destroy(struct message_syntax *syntax);

/* Begins the next message. */
void message_syntax_begin(struct message_syntax *syntax);

/* Says after the end of a head that the body is in chunks. Of any other body
   all bytes are valid. */
void message_syntax_begin_chunks(struct message_syntax *syntax);

/* Checks bytes up to the first invalid one or an end, and sets *valid to their
   number. */
enum message_syntax_result message_syntax_check(struct message_syntax *syntax,
                                                const void *bytes,
                                                size_t count, size_t *valid);

#endif
