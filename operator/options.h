#ifndef OPERATOR_OPTIONS_H
#define OPERATOR_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/ini.h"
#include "operator/explain_options.h"

/* Parses the command line of the dandelionfork command. */

enum command {
    COMMAND_CHECK,
    COMMAND_DIFF,
    COMMAND_APPLY,
    COMMAND_SHOW,
    COMMAND_HISTORY,
    COMMAND_STATUS,
    COMMAND_EXPLAIN,
    COMMAND_COUNT,
};

/* Exit statuses of all commands. */
enum operator_exit {
    OPERATOR_OK = 0,
    /* Invalid or conflicting tables, an unknown base or change, an invalid
       head, or too many concurrent writes by other operators. */
    OPERATOR_REFUSED = 1,
    /* Invalid command line, unreadable file, or no base generation. */
    OPERATOR_USAGE = 2,
    /* The store failed or the tables are too large; nothing was written. */
    OPERATOR_STORE_UNAVAILABLE = 3,
    OPERATOR_UNKNOWN = 4, /* perhaps written; history --change tells */
    /* The configuration is accepted, but not all processes are known to have
       it yet. */
    OPERATOR_NOT_IN_FORCE = 5,
    /* Outcomes of explain; with several gateways, the highest. */
    OPERATOR_WOULD_WAIT = 10,
    OPERATOR_WOULD_BE_REFUSED = 11,
    OPERATOR_NO_ROUTE = 12,
    OPERATOR_UNKNOWN_ACCOUNT = 13,
    OPERATOR_UNREACHABLE = 14,
    OPERATOR_OLDER_BUILD = 15,
    OPERATOR_NO_ANSWER = 16, /* wrong question, or asked too often */
};

/* The strings point into argv or are static; only store_address.ip is
   allocated, free it with g_free(). */
struct options {
    enum command command;
    const char *routes_file;
    const char *pools_file;
    struct ini_address store_address;
    const char *author;
    const char *change_id; /* NULL: apply makes one, history prints all */
    bool has_base;
    uint64_t base;       /* generation that was edited */
    uint64_t timeout_ms; /* of apply's wait until in force; 0: no wait */
    bool json;
    bool dry_run;
    const char *agent_service;
    const char *entry_service;
    /* Of explain, which sets no other option; free it with
       explain_options_clear(). */
    struct explain_options explain;
};

/* Returns true if there is a command to run. Otherwise it has printed the help
   or an error, and *status is the exit status. */
bool options_parse(int argc, char **argv, struct options *out,
                   enum operator_exit *status);

#endif
