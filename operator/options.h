#ifndef OPERATOR_OPTIONS_H
#define OPERATOR_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/ini.h"

/* The command line of dandelionfork. */

enum command {
    COMMAND_CHECK,
    COMMAND_DIFF,
    COMMAND_APPLY,
    COMMAND_SHOW,
    COMMAND_HISTORY,
    COMMAND_STATUS,
    COMMAND_COUNT,
};

/* Exit statuses of all commands. */
enum operator_exit {
    OPERATOR_OK = 0,
    OPERATOR_REFUSED = 1,      /* the tables are wrong, or edits conflict */
    OPERATOR_USAGE = 2,        /* the command line or a file is wrong */
    OPERATOR_STORE_DOWN = 3,   /* nothing was written */
    OPERATOR_UNKNOWN = 4,      /* written or not: see history --change */
    OPERATOR_NOT_IN_FORCE = 5, /* accepted, but not everywhere in time */
};

struct options {
    enum command command;
    const char *routes_file;
    const char *pools_file;
    struct ini_address store;
    const char *author;
    const char *change; /* NULL: all, or a new id */
    bool has_base;
    uint64_t base;
    uint64_t timeout_ms;
    bool json;
    bool dry_run;
    const char *agent_service;
    const char *entry_service;
};

/* Returns true to go on; else *status is the exit status. */
bool options_parse(int argc, char **argv, struct options *out,
                   enum operator_exit *status);

#endif
