#ifndef CORE_CRASH_REPORT_H
#define CORE_CRASH_REPORT_H

#include <stddef.h>
#include <stdint.h>

/* A gateway's report of the crash of an endpoint: the requests that the
   endpoint had from this gateway and left unfinished, and the parts of the
   prompts among them that it left without any event. */

struct _GArray;
struct _GByteArray;

enum {
    CRASH_REPORT_MAX_PARTS = 128,
    /* Depth of a whole request: no other request has it. */
    CRASH_REPORT_REQUEST_DEPTH = UINT32_MAX,
};

struct crash_report_part {
    char *id;         /* a part's, or from request_digest() */
    uint32_t depth;   /* place in the prompt, from 0 */
    uint64_t sent_ms; /* of a request: Unix time by the gateway's clock */
};

struct crash_report {
    char *gateway;
    char *endpoint;
    uint64_t crashed_ms; /* Unix time by the gateway's clock */
    /* When the gateway had last got an event of any prompt; 0: never. */
    uint64_t served_ms;
    struct _GArray *parts; /* struct crash_report_part, each id once */
};

struct crash_report *crash_report_create(const char *gateway,
                                         const char *endpoint,
                                         uint64_t crashed_ms,
                                         uint64_t served_ms);
void crash_report_destroy(struct crash_report *report);

/* Adds a part, unless it is there already or there are
   CRASH_REPORT_MAX_PARTS. */
void crash_report_add(struct crash_report *report, const char *id,
                      uint32_t depth);

/* The same for a request, which was sent to the endpoint then. If it was sent
   more than once, the last time counts. */
void crash_report_add_request(struct crash_report *report, const char *digest,
                              uint64_t sent_ms);

/* Appends the report in the encoding that gateways keep in the store. */
void crash_report_encode(const struct crash_report *report,
                         struct _GByteArray *out);
/* Returns NULL if the bytes are malformed. */
struct crash_report *crash_report_decode(const uint8_t *bytes, size_t count);

#endif
