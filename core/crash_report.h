#ifndef CORE_CRASH_REPORT_H
#define CORE_CRASH_REPORT_H

#include <stddef.h>
#include <stdint.h>

/* A gateway's report of the crash of an endpoint: the parts of the prompts
   that the endpoint had from this gateway and left without any event. */

struct _GArray;
struct _GByteArray;

enum {
    CRASH_REPORT_MAX_PARTS = 64
};

struct crash_report_part {
    char *id;
    uint32_t depth; /* place in the prompt, from 0 */
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

/* Appends the report in the encoding that gateways keep in the store. */
void crash_report_encode(const struct crash_report *report,
                         struct _GByteArray *out);
/* Returns NULL if the bytes are malformed. */
struct crash_report *crash_report_decode(const uint8_t *bytes, size_t count);

#endif
