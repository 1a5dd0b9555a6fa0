#ifndef TESTS_FAKES_FAKE_SERVER_H
#define TESTS_FAKES_FAKE_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* A small HTTP server for the fakes. Each connection has its own thread, so
   that handlers may block. */

struct MHD_Connection;
struct _GByteArray;

struct fake_request {
    struct MHD_Connection *connection;
    char *method;
    char *path;
    struct _GByteArray *body;
    void *owner; /* unused by the server, which doesn't free it */
    /* Responses that the connection has carried before this one. */
    uint32_t responses;
    const char *trailing; /* of the response */
};

struct fake_header_line {
    const char *name;
    const char *value;
};

enum {
    FAKE_MAX_HEADERS = 8
};

struct fake_response {
    uint32_t status;
    const char *content_type;
    char *body;            /* the server frees it with free(); NULL: none */
    uint64_t consul_index; /* X-Consul-Index header; 0: none */
    /* Unused ones have name NULL. */
    struct fake_header_line headers[FAKE_MAX_HEADERS];
    bool drop;     /* close the connection without a response */
    bool unframed; /* a streamed body has neither a length nor chunks */
    /* Bytes that are sent as they are after the response; NULL: none. They
       must stay valid. */
    const char *trailing;
    /* If read is set, the body is streamed: read is a content reader callback
       of libmicrohttpd, and free_read frees read_data at the end. */
    ssize_t (*read)(void *data, uint64_t position, char *out, size_t max);
    void (*free_read)(void *data);
    void *read_data;
};

struct fake_address {
    char ip[16];
    uint16_t port;
};

/* Parses "--ip A", "--port N" and, for each of the count names, "--name N"
   into the value of the same index; other values keep their content. Prints an
   error and exits on bad arguments. */
struct fake_address fake_parse_arguments(int argc, char **argv,
                                         const char *const *names,
                                         uint64_t *values, size_t count);

/* Serves until SIGTERM or SIGINT, then exits the process. Prints "ready" when
   it listens. Returns an exit status only if it can't listen. The handler is
   called by many threads at once and fills a response that is all 0 but for
   status 200. */
int fake_serve(const struct fake_address *address,
               void (*handler)(void *data, const struct fake_request *request,
                               struct fake_response *response),
               void *data);

/* A request header's value, borrowed from the request; NULL if absent. */
const char *fake_header(const struct fake_request *request, const char *name);
/* A query argument as a number, or default_value if it is absent. */
uint64_t fake_query_number(const struct fake_request *request,
                           const char *name, uint64_t default_value);
bool fake_has_query(const struct fake_request *request, const char *name);
/* Sends bytes as they are on the request's connection. */
void fake_send_raw(const struct fake_request *request, const char *bytes,
                   size_t count);

/* CLOCK_MONOTONIC in ms. */
uint64_t fake_clock_ms(void);

#endif
