#include "agent/agent_settings.h"

#include <glib.h>
#include <stddef.h>

#include "io/log.h"

#define AGENT(field) offsetof(struct agent_settings, field)
#define PLATFORM(field) offsetof(struct agent_platform_settings, field)

enum {
    MINUTE_MS = 60 * 1000,
    DAY_MS = 24 * 60 * MINUTE_MS,
    MIB = 1 << 20
};

/* Indexed by enum work_order. */
static const char *const order_names[] = {"short-first", "fifo", NULL};

static const struct ini_key agent_keys[] = {
    {"instance", INI_NAME, AGENT(instance), NULL, 0, 0, NULL},
    {"data_centre", INI_NAME, AGENT(data_centre), NULL, 0, 0, NULL},
    {"listen", INI_ADDRESS, AGENT(listen), NULL, 0, 0, NULL},
    {"endpoint", INI_ADDRESS, AGENT(endpoint), NULL, 0, 0, NULL},
    {"health_path", INI_TEXT, AGENT(health_path), "/health", 0, 0, NULL},
    {"health_interval", INI_DURATION_MS, AGENT(health_interval_ms), "500ms",
     10, MINUTE_MS, NULL},
    {"offer_window", INI_DURATION_MS, AGENT(offer_window_ms), "1s", 10,
     MINUTE_MS, NULL},
    {"lease", INI_DURATION_MS, AGENT(lease_ms), "5s", 10, MINUTE_MS, NULL},
    {"record", INI_DURATION_MS, AGENT(record_ms), "60s", 10, DAY_MS, NULL},
    {"prefill_window", INI_DURATION_MS, AGENT(prefill_window_ms), "100ms", 1,
     MINUTE_MS, NULL},
    {"max_queue", INI_COUNT, AGENT(max_queue), "10000", 1, 1000000, NULL},
    {"order", INI_CHOICE, AGENT(order), "short-first", 0, 0, order_names},
    {"load_interval", INI_DURATION_MS, AGENT(load_interval_ms), "0s", 0,
     MINUTE_MS, NULL},
    {"body_memory", INI_BYTES, AGENT(body_memory_bytes), "96MiB", MIB,
     UINT64_C(16) * 1024 * MIB, NULL},
};

static const struct ini_key platform_keys[] = {
    {"store", INI_ADDRESS, PLATFORM(store), NULL, 0, 0, NULL},
};

enum settings_result
agent_settings_start(int argc, char **argv, struct agent_settings *agent,
                     struct agent_platform_settings *platform)
{
    struct log_settings log = {0};
    const struct settings_section sections[] = {
        {"agent", agent_keys, G_N_ELEMENTS(agent_keys), agent},
        {"platform", platform_keys, G_N_ELEMENTS(platform_keys), platform},
        {"log", log_settings_keys, log_settings_key_count, &log},
    };
    enum settings_result result =
        settings_start(argc, argv, "dandelionfork-agent",
                       "Queues requests for one endpoint and starts them when "
                       "it has capacity.",
                       sections, G_N_ELEMENTS(sections), NULL);

    if (result == SETTINGS_RUN) {
        log_configure((enum log_level)log.level, (enum log_format)log.format,
                      (enum log_output)log.output);
    }
    return result;
}
