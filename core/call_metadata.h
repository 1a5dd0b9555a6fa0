#ifndef CORE_CALL_METADATA_H
#define CORE_CALL_METADATA_H

#include <stdbool.h>
#include <stdint.h>

/* Metadata of a caller's request, decoded from its headers. The strings are
   owned; free them with platform_http_request_clear(). */
struct request_metadata {
    char *id;            /* of the caller's attempt; NULL: none */
    char *key;           /* API key of the client account; NULL: none */
    char *host;          /* NULL: none */
    char *last_event_id; /* last event that the caller got; NULL: none */
    bool has_time_left;
    uint32_t time_left_ms;      /* how long the caller will wait */
    uint64_t prompt_tokens;     /* 0: not given */
    uint64_t max_output_tokens; /* 0: not given */
    /* Ids of the prompt's parts that other requests may share, in order;
       NULL-terminated, empty if there are none. */
    char **shared_parts;
};

/* Metadata of an endpoint's response, decoded from its headers. */
struct response_metadata {
    bool matches_request;  /* it answers the request that was sent */
    bool not_executed;     /* the endpoint has not run the request and won't */
    bool misdirected;      /* from another instance than the one asked for */
    uint32_t keep_alive_s; /* idle timeout of the connection; 0: not given */
    bool leaving;          /* the endpoint takes no new requests any more */
    /* How long the endpoint, which has refused the request, wants no further
       ones of this gateway; 0: not given. */
    uint32_t retry_after_ms;
    bool has_cold;
    uint32_t cold_ms; /* how much longer the endpoint is cold */
    bool has_load;
    uint32_t load_requests; /* running and waiting at the endpoint */
    /* Requests a second that the endpoint takes from all gateways together; 0:
       it names no limit. */
    double limit_per_s;
    /* Id or address of the endpoint that is at fault for a refusal, this one
       or a helper; NULL: not given. Borrowed from the response head. */
    const char *failed_endpoint;
};

#endif
