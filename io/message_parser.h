#ifndef IO_MESSAGE_PARSER_H
#define IO_MESSAGE_PARSER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Parses the HTTP/1.1 messages that arrive on one connection, one at a time.
   Not thread-safe. */

struct http_head;
struct message_parser;

/* Each returns whether parsing goes on. */
struct message_parser_handlers {
    /* The first byte of a message has arrived. It is also called for an
       informational response (1xx), of which nothing else is reported. */
    bool (*begun)(void *data);
    bool (*head)(void *data, const struct http_head *head);
    bool (*body)(void *data, const uint8_t *bytes, size_t count);
};

enum message_parser_result {
    MESSAGE_PARSER_MORE,     /* all bytes are parsed, the message goes on */
    MESSAGE_PARSER_COMPLETE, /* the message has ended; bytes may be left */
    MESSAGE_PARSER_STOPPED,  /* by a handler */
    MESSAGE_PARSER_INVALID,
    /* The head exceeds max_head_bytes or 512 headers, or informational
       responses, chunk extensions or trailers have no end. */
    MESSAGE_PARSER_TOO_LONG,
};

struct message_parser *
message_parser_create(bool of_responses, uint32_t max_head_bytes,
                      const struct message_parser_handlers *handlers,
                      void *data);
void message_parser_destroy(struct message_parser *parser);

/* Says before a response whether it answers a HEAD request, and so has no
   body. */
void message_parser_set_head_only(struct message_parser *parser,
                                  bool head_only);

/* Parses up to the end of the present message, and sets *parsed to the number
   of its bytes if it is complete. */
enum message_parser_result message_parser_parse(struct message_parser *parser,
                                                const uint8_t *bytes,
                                                size_t count, size_t *parsed);

/* The peer has closed its side, which ends a response without a length.
   Returns MESSAGE_PARSER_MORE if no message had begun. */
enum message_parser_result message_parser_end(struct message_parser *parser);

#endif
