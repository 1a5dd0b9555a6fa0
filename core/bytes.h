#ifndef CORE_BYTES_H
#define CORE_BYTES_H

struct _GByteArray;

/* Appends a text without its terminating NUL. */
void bytes_add_text(struct _GByteArray *out, const char *text);

#endif
