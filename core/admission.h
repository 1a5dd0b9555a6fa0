#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/* Decides whether a gateway accepts a caller's request, from its route, its
   API key, and the age of the gateway's configuration. Keeps no state. */

struct request_metadata;
struct catalog;
struct catalog_account;
struct catalog_route;
struct catalog_service;

enum admission {
    ADMISSION_ACCEPTED,
    ADMISSION_NO_ROUTE,    /* final: no route matches */
    ADMISSION_UNKNOWN_KEY, /* final: no client account has the key */
    /* The configuration here is missing, too old to decide, or lacks the
       route's service. The request has not run; the caller may retry it. */
    ADMISSION_UNAVAILABLE,
};

struct admission_settings {
    /* Longest time from an operator's removal of a key until every gateway
       refuses it, even those that can't reach the store. */
    uint32_t revoke_ms;
    /* Longest time from an operator's change until every gateway that reaches
       the store has it in force. */
    uint32_t apply_ms;
};

/* The configuration that a gateway has in force. */
struct admission_config {
    const struct catalog *catalog; /* NULL: none has been read yet */
    uint64_t age_ms; /* since it was last known to be the newest one */
    /* Since it was last known to have all routes and keys; UINT64_MAX: never,
       or the newest one can't be read. */
    uint64_t complete_age_ms;
};

struct admitted {
    const struct catalog_route *route;
    const struct catalog_account *account; /* NULL: no key needed */
    const struct catalog_service *service;
};

/* Checks a request for target (path and query). draw, uniform in [0, 1),
   selects among the services of a route. Fills admitted with pointers into the
   catalog, and *why with a static text: the reason of a refusal, or "". */
enum admission admission_check(const struct admission_settings *settings,
                               const struct admission_config *config,
                               const struct request_metadata *request,
                               const char *target, double draw,
                               struct admitted *admitted, const char **why);

/* The same for a client account that is given by its name instead of a key;
   account_name may be NULL. */
enum admission admission_check_named(const struct admission_settings *settings,
                                     const struct admission_config *config,
                                     const char *account_name,
                                     const char *host, const char *target,
                                     double draw, struct admitted *admitted,
                                     const char **why);

/* Whether a configuration of that age may still decide about keys. */
bool admission_can_check_keys(const struct admission_settings *settings,
                              uint64_t age_ms);

#endif
