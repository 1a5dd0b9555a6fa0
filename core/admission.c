#include "core/admission.h"

#include <stddef.h>

#include "core/call_metadata.h"
#include "core/catalog.h"

enum {
    /* Part of the revocation bound reserved for the transfer of the caller's
       request and for clock differences. */
    REVOKE_MARGIN_MS = 600,
    /* An older configuration may lack new routes and keys, so that a miss is
       answered with a retry time and is not final. */
    STALE_CONFIG_MS = 2500,
    /* Part of the bound on changes by which the caller's request may be older
       than its decision, for rounding and the time of the acknowledgement. */
    APPLY_MARGIN_MS = 100,
};

bool
admission_can_check_keys(const struct admission_settings *settings,
                         uint64_t age_ms)
{
    return age_ms <= settings->revoke_ms &&
           age_ms + REVOKE_MARGIN_MS <= settings->revoke_ms;
}

/* Result for an unknown route or key: final only if a version that has it and
   that has to be in force by now would be known. */
static enum admission
missing_result(const struct admission_settings *settings,
               uint64_t complete_age_ms, enum admission final)
{
    return complete_age_ms > STALE_CONFIG_MS ||
                   complete_age_ms + APPLY_MARGIN_MS > settings->apply_ms
               ? ADMISSION_UNAVAILABLE
               : final;
}

static enum admission
check_account(const struct admission_settings *settings,
              const struct admission_config *config,
              const struct catalog_account *account, struct admitted *admitted,
              const char **why)
{
    if (admitted->route->is_public || !catalog_has_accounts(config->catalog)) {
        return ADMISSION_ACCEPTED;
    }
    if (!admission_can_check_keys(settings, config->age_ms)) {
        *why = "the key may have been removed";
        return ADMISSION_UNAVAILABLE;
    }
    admitted->account = account;
    if (admitted->account != NULL) {
        return ADMISSION_ACCEPTED;
    }
    *why = "unknown key";
    return missing_result(settings, config->complete_age_ms,
                          ADMISSION_UNKNOWN_KEY);
}

static enum admission
check(const struct admission_settings *settings,
      const struct admission_config *config,
      const struct catalog_account *account, const char *host,
      const char *target, double draw, struct admitted *admitted,
      const char **why)
{
    enum admission result;

    *admitted = (struct admitted){0};
    *why = "";
    if (config->catalog == NULL) {
        *why = "no configuration yet";
        return ADMISSION_UNAVAILABLE;
    }
    if (host != NULL) {
        admitted->route = catalog_find_route(config->catalog, host, target);
    }
    if (admitted->route == NULL) {
        *why = "no such route";
        return missing_result(settings, config->complete_age_ms,
                              ADMISSION_NO_ROUTE);
    }
    result = check_account(settings, config, account, admitted, why);
    if (result != ADMISSION_ACCEPTED) {
        return result;
    }
    admitted->service =
        catalog_pick_service(config->catalog, admitted->route, draw);
    if (admitted->service == NULL) {
        *why = "the route's service is not known";
        return ADMISSION_UNAVAILABLE;
    }
    return ADMISSION_ACCEPTED;
}

enum admission
admission_check(const struct admission_settings *settings,
                const struct admission_config *config,
                const struct request_metadata *request, const char *target,
                double draw, struct admitted *admitted, const char **why)
{
    const struct catalog_account *account = NULL;

    if (config->catalog != NULL && request->key != NULL) {
        account = catalog_find_account(config->catalog, request->key);
    }
    return check(settings, config, account, request->host, target, draw,
                 admitted, why);
}

enum admission
admission_check_named(const struct admission_settings *settings,
                      const struct admission_config *config,
                      const char *account_name, const char *host,
                      const char *target, double draw,
                      struct admitted *admitted, const char **why)
{
    const struct catalog_account *account = NULL;

    if (config->catalog != NULL && account_name != NULL) {
        account = catalog_find_account_named(config->catalog, account_name);
    }
    return check(settings, config, account, host, target, draw, admitted, why);
}
