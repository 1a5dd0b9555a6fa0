#ifndef IO_STORE_WRITER_H
#define IO_STORE_WRITER_H

#include <stddef.h>
#include <stdint.h>

/* Writes items that expire to the platform's key-value store, on a thread of
   its own. A write that fails is tried again until it succeeds or its item
   would have expired. Runs until the process ends. */

struct store_ops;
struct store_writer;

struct store_writer_settings {
    const char *ip; /* of the store; copied */
    uint16_t port;
    const struct store_ops *ops; /* borrowed */
    /* An item lives for half of this time at least, and at most for all of it.
     */
    uint32_t ttl_ms;
};

struct store_writer *
store_writer_create(const struct store_writer_settings *settings);

/* Queues an item, which is copied. Doesn't block; while too many items wait,
   the item is dropped with a warning. Any thread. */
void store_writer_put(struct store_writer *writer, const char *key,
                      const void *bytes, size_t count);

#endif
