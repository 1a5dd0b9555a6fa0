#ifndef CORE_PEER_LOAD_H
#define CORE_PEER_LOAD_H

#include <stddef.h>
#include <stdint.h>

/* Encoding of the load reports between gateways: the load that a gateway has
   placed on each endpoint, and the limits that it has observed. A limit is a
   row under the endpoint's id with a prefix, which gateways without limits
   skip as the load of an unknown endpoint. */

struct endpoints;
struct _GArray;
struct _GByteArray;

/* Appends a report of the load that this gateway has placed on the endpoints
   and of the limits that it has observed. Endpoints without are left out. */
void peer_load_encode(const struct endpoints *endpoints, uint64_t now_ms,
                      struct _GByteArray *out);

/* Decodes a report to an array of struct endpoint_peer_load, which the caller
   owns, as it does the ids. Returns NULL if the bytes are malformed. */
struct _GArray *peer_load_decode(const uint8_t *bytes, size_t count);

#endif
