#ifndef IO_HEAD_READER_H
#define IO_HEAD_READER_H

#include <stddef.h>

/* Collects the head of an HTTP message from the pieces that http-parser
   reports. Not thread-safe. */

struct head_reader;
struct http_head;

struct head_reader *head_reader_create(void);
void head_reader_destroy(struct head_reader *reader);

/* Begins the next message. */
void head_reader_begin(struct head_reader *reader);

/* Add a piece of the target, of a header's name, or of its value. The first
   piece of a name ends the header before. */
void head_reader_add_target(struct head_reader *reader, const char *text,
                            size_t count);
void head_reader_add_name(struct head_reader *reader, const char *text,
                          size_t count);
void head_reader_add_value(struct head_reader *reader, const char *text,
                           size_t count);

/* Size of the head so far, without white space that the parser drops, and its
   number of headers. */
size_t head_reader_bytes(const struct head_reader *reader);
size_t head_reader_count(const struct head_reader *reader);

/* Sets the target and the headers of the head, which the reader owns until the
   next message begins. */
void head_reader_fill(struct head_reader *reader, struct http_head *head);

#endif
