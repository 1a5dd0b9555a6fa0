#include "io/config_message.h"

#include <glib.h>
#include <inttypes.h>

#include "core/config.h"
#include "core/message.h"
#include "io/log.h"
#include "io/published_config.h"

#define LOG_PART "config"

static bool
is_newer(uint64_t generation)
{
    const struct config *config = published_config_read_lock();
    bool newer = config == NULL || generation > config_generation(config);

    published_config_read_unlock();
    return newer;
}

bool
config_message_apply(const struct message *message, const char *source)
{
    GPtrArray *errors;
    struct config *config;
    bool published = false;

    if (!is_newer(message->generation)) {
        return false;
    }
    errors = g_ptr_array_new_with_free_func(g_free);
    config = config_create((const char *)message->data, message->data_bytes,
                           errors);
    if (config == NULL) {
        LOG_WARN("a received configuration can't be read", "error=\"%s\"",
                 (const char *)g_ptr_array_index(errors, 0));
    }
    else if (published_config_publish(config)) {
        LOG_INFO("configuration in force", "generation=%" PRIu64 " source=%s",
                 message->generation, source);
        published = true;
    }
    g_ptr_array_free(errors, TRUE);
    return published;
}

bool
config_message_fill(const struct config *config, struct message *out)
{
    if (config == NULL) {
        return false;
    }
    out->type = MESSAGE_CONFIG;
    out->generation = config_generation(config);
    out->data = (const uint8_t *)config_json(config, &out->data_bytes);
    return true;
}
