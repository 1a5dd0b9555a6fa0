#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/* Whether a gateway takes a caller's request, by its route and key and by how
   old the gateway's knowledge of the configuration is. */

struct call_terms;
struct catalog;
struct catalog_account;
struct catalog_route;
struct catalog_service;

enum admission {
    ADMISSION_TAKEN,
    ADMISSION_NO_ROUTE,    /* final: none is configured */
    ADMISSION_UNKNOWN_KEY, /* final: no account holds it */
    ADMISSION_LATER,       /* not run: this gateway knows too little now */
};

struct admission_settings {
    /* A key's removal is in force this long after the operators' word, on each
       gateway, whatever it hears of the store. */
    uint32_t revoke_ms;
};

struct admitted {
    const struct catalog_route *route;
    const struct catalog_account *account; /* NULL: the route needs none */
    const struct catalog_service *service;
};

/* catalog may be NULL. age_ms: since when the configuration may have changed
   unnoticed. draw: uniform in [0, 1), for routes with several services. *why
   gets a short static text unless the request is taken. */
enum admission admission_check(const struct admission_settings *settings,
                               const struct catalog *catalog, uint64_t age_ms,
                               const struct call_terms *terms,
                               const char *target, double draw,
                               struct admitted *admitted, const char **why);

/* Whether requests with keys are taken at that age. */
bool admission_takes_keys(const struct admission_settings *settings,
                          uint64_t age_ms);

#endif
