#ifndef IO_STORE_H
#define IO_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* HTTP client of the platform's key-value service (the store) and of its lists
   of instances: GET and PUT of /v1/kv/KEY with compare-and-swap on a
   modification index, and GET of /v1/health/service/NAME. Blocking queries
   serve as watches. Other requests, such as those for leases, go through
   store_call(). See docs/PLATFORM.md. Calls block; only one thread may use a
   store at a time. */

struct store;

enum {
    STORE_MAX_VALUE_BYTES = 1024 * 1024
};

enum store_error {
    STORE_ERROR_UNAVAILABLE, /* no connection or no such path; not written */
    STORE_ERROR_UNKNOWN,     /* no valid response; perhaps written */
    STORE_ERROR_TOO_LONG,    /* the response is longer than 16 MiB */
};

/* Domain of the GErrors, with codes of enum store_error. */
GQuark store_error_quark(void);

enum store_write_result {
    STORE_WRITTEN,  /* the write has taken effect */
    STORE_CONFLICT, /* the key has another index; nothing was written */
    STORE_FAILED,   /* the error says whether a write may have happened */
};

struct store_value {
    char *bytes;    /* NUL-terminated; NULL if the key does not exist */
    size_t count;   /* of bytes, without the NUL */
    uint64_t index; /* modification index; 0 if the key does not exist */
};

/* One HTTP request to the service. The strings are borrowed. */
struct store_call {
    const char *method;
    const char *path;         /* with the query */
    const char *content_type; /* NULL: no such header */
    const char *bytes;        /* body */
    size_t count;             /* of bytes; 0: no body */
    uint32_t wait_ms;         /* how long the service may delay its response */
    const char *number_header; /* for store_number(), or NULL */
};

struct store *store_create(const char *ip, uint16_t port);

/* Sets the timeouts of later calls, in seconds. A read times out
   read_margin_s after the call's wait_ms. */
void store_set_timeouts(struct store *store, uint32_t connect_s,
                        uint32_t read_margin_s);

/* Sends a request. Returns the HTTP status, whatever it is, and appends the
   body to response; returns 0 with an error if there is no response. */
uint32_t store_call(struct store *store, const struct store_call *call,
                    struct _GByteArray *response, GError **error);
void store_destroy(struct store *store);

/* Returns the number_header of the last call's response, whatever its status;
   HTTP_NO_NUMBER: the response, if there was one, had none. */
uint64_t store_number(const struct store *store);

/* Reads a key; a missing key is not an error. If wait_ms is not 0, the call
   waits up to wait_ms until the key's index differs from after_index. Free
   the value with store_value_clear(). */
bool store_get(struct store *store, const char *key, uint64_t after_index,
               uint32_t wait_ms, struct store_value *out, GError **error);
void store_value_clear(struct store_value *value);

/* Writes the key if its modification index equals index, or, if index is 0,
   if the key does not exist. */
enum store_write_result store_put(struct store *store, const char *key,
                                  const char *bytes, size_t count,
                                  uint64_t index, GError **error);

struct member;

/* Reads the instances of a service. Waits up to wait_ms until the list's index
   differs from after_index; *index gets the index to pass to the next call.
   An instance whose check is not passing is marked as draining; one whose
   entry can't be parsed is left out. Free the list with
   store_members_free(). */
bool store_get_members(struct store *store, const char *service,
                       uint64_t after_index, uint32_t wait_ms,
                       struct member **list, size_t *count, uint64_t *index,
                       GError **error);
void store_members_free(struct member *list, size_t count);

/* Number of calls that this process has made to all stores. Any thread. */
uint64_t store_call_count(void);

#endif
