#include "gateway/forward_admission.h"

#include <glib.h>

#include "core/admission.h"
#include "core/catalog.h"
#include "core/store_revision.h"
#include "gateway/directory.h"
#include "gateway/forward_state.h"
#include "gateway/relay.h"
#include "io/log.h"
#include "io/loop.h"

#define LOG_PART "forward"

enum {
    STATUS_UNAUTHORIZED = 401,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503,
};

struct admission_config
forward_admission_config(const struct forward *forward)
{
    const struct directory *directory = forward->forwarder->deps.directory;
    uint64_t now_ms = loop_clock_ms();

    return (struct admission_config){
        .catalog = forward->catalog,
        .age_ms = directory_config_age_ms(directory, now_ms),
        .complete_age_ms = directory_complete_age_ms(directory, now_ms)};
}

/* A refusal for want of a route or a key depends on how recent the copy of the
   store is. */
static void
refuse(struct forward *forward, const struct admission_config *config,
       uint32_t status, const char *why)
{
    const struct directory *directory = forward->forwarder->deps.directory;

    LOG_INFO("request is not admitted",
             "id=%s status=%u why=\"%s\" version=%" G_GUINT64_FORMAT
             " config_age_ms=%" G_GUINT64_FORMAT
             " complete=%d revision=%s age_ms=%" G_GUINT64_FORMAT
             " confirmed_by=%s",
             forward_id(forward), status, why,
             config->catalog != NULL ? catalog_version(config->catalog) : 0,
             config->age_ms, config->complete_age_ms == config->age_ms,
             store_revision_text(directory_revision(directory)).text,
             directory_age_ms(directory, loop_clock_ms()),
             directory_source(directory));
    relay_local_reply(forward, status, why);
}

bool
forward_admission_check(struct forward *forward)
{
    const struct forwarder *forwarder = forward->forwarder;
    const struct admission_config config = forward_admission_config(forward);
    const char *why;

    switch (admission_check(&forwarder->settings.admission, &config,
                            &forward->metadata, forward->target,
                            g_rand_double(forwarder->random),
                            &forward->admitted, &why)) {
    case ADMISSION_ACCEPTED:
        return true;
    case ADMISSION_NO_ROUTE:
        refuse(forward, &config, STATUS_NOT_FOUND, why);
        return false;
    case ADMISSION_UNKNOWN_KEY:
        refuse(forward, &config, STATUS_UNAUTHORIZED, why);
        return false;
    case ADMISSION_UNAVAILABLE:
        break;
    }
    refuse(forward, &config, STATUS_UNAVAILABLE, why);
    return false;
}
