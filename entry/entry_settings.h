#ifndef ENTRY_ENTRY_SETTINGS_H
#define ENTRY_ENTRY_SETTINGS_H

#include <stdint.h>

#include "core/ini.h"
#include "io/settings.h"

/* Settings of dandelionfork-entry; see docs/man/dandelionfork-entry.1.md for
   each key. */

struct entry_settings {
    /* [entry] */
    char *instance;
    char *data_centre;
    struct ini_address listen;
    char *account_header;    /* name of the HTTP header */
    char *time_limit_header; /* name of the HTTP header */
    uint64_t max_body_bytes;
    uint64_t body_memory_bytes;
    uint64_t max_connections;
    uint64_t idle_ms;
    uint64_t drain_grace_ms;
    /* Between the signal and the end of the process at the latest; 0: it ends
       when nothing is in progress. */
    uint64_t grace_ms;
    uint64_t silence_ms;
    /* How long a crash of an engine counts against a prompt's prefixes; 0: no
       prompt is refused for that. */
    uint64_t quarantine_ms;
    uint64_t resume_ms;
    uint64_t first_candidates;
    uint64_t widen_step;
    uint64_t widen_ms;
    uint64_t max_candidates;
    uint64_t max_attempts;
    char **seeds;    /* addresses, NULL-terminated */
    uint64_t policy; /* enum members_policy */
};

struct entry_platform_settings {
    /* [platform] */
    struct ini_address store;
    char *service;       /* under which the agents are listed */
    char *entry_service; /* under which the entries are listed */
};

/* Reads the command line and the settings file into the two structs, and
   configures the log if the result is SETTINGS_RUN. */
enum settings_result
entry_settings_start(int argc, char **argv, struct entry_settings *entry,
                     struct entry_platform_settings *platform);

#endif
