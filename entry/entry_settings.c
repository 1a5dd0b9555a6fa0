#include "entry/entry_settings.h"

#include <glib.h>
#include <stddef.h>

#include "core/binding.h"
#include "io/log.h"

#define ENTRY(field) offsetof(struct entry_settings, field)
#define PLATFORM(field) offsetof(struct entry_platform_settings, field)

enum {
    MINUTE_MS = 60 * 1000,
    HOUR_MS = 60 * MINUTE_MS,
    MIB = 1 << 20
};

static const char *const policy_names[] = {
    "late-binding", "random", "least-loaded", "best-of-two", NULL};

static const struct ini_key entry_keys[] = {
    {"instance", INI_NAME, ENTRY(instance), NULL, 0, 0, NULL},
    {"data_centre", INI_NAME, ENTRY(data_centre), NULL, 0, 0, NULL},
    {"listen", INI_ADDRESS, ENTRY(listen), NULL, 0, 0, NULL},
    {"account_header", INI_NAME, ENTRY(account_header), "X-Account", 0, 0,
     NULL},
    {"time_limit_header", INI_NAME, ENTRY(time_limit_header),
     "X-Time-Limit-Ms", 0, 0, NULL},
    {"max_body", INI_BYTES, ENTRY(max_body_bytes), "12MiB", 1, 1 << 30, NULL},
    {"body_memory", INI_BYTES, ENTRY(body_memory_bytes), "96MiB", MIB,
     1L << 34, NULL},
    {"max_connections", INI_COUNT, ENTRY(max_connections), "16384", 1, 1000000,
     NULL},
    {"idle", INI_DURATION_MS, ENTRY(idle_ms), "60s", 1000, HOUR_MS, NULL},
    {"drain_grace", INI_DURATION_MS, ENTRY(drain_grace_ms), "2s", 0, MINUTE_MS,
     NULL},
    {"grace", INI_DURATION_MS, ENTRY(grace_ms), "0s", 0, HOUR_MS, NULL},
    {"silence", INI_DURATION_MS, ENTRY(silence_ms), "3s", 1500, MINUTE_MS,
     NULL},
    {"quarantine", INI_DURATION_MS, ENTRY(quarantine_ms), "10min", 0, HOUR_MS,
     NULL},
    {"resume", INI_DURATION_MS, ENTRY(resume_ms), "4s", 10, MINUTE_MS, NULL},
    {"first_candidates", INI_COUNT, ENTRY(first_candidates), "2", 1,
     BINDING_MAX_CANDIDATES, NULL},
    {"widen_step", INI_COUNT, ENTRY(widen_step), "2", 1,
     BINDING_MAX_CANDIDATES, NULL},
    {"widen", INI_DURATION_MS, ENTRY(widen_ms), "20ms", 1, MINUTE_MS, NULL},
    {"max_candidates", INI_COUNT, ENTRY(max_candidates), "8", 1,
     BINDING_MAX_CANDIDATES, NULL},
    {"max_attempts", INI_COUNT, ENTRY(max_attempts), "6", 1, 100, NULL},
    {"policy", INI_CHOICE, ENTRY(policy), "late-binding", 0, 0, policy_names},
    {"seeds", INI_ADDRESSES, ENTRY(seeds), "", 0, 0, NULL},
};

static const struct ini_key platform_keys[] = {
    {"entry_service", INI_NAME, PLATFORM(entry_service), "dandelionfork-entry",
     0, 0, NULL},
    {"store", INI_ADDRESS, PLATFORM(store), NULL, 0, 0, NULL},
    {"service", INI_NAME, PLATFORM(service), "dandelionfork-agent", 0, 0,
     NULL},
};

enum settings_result
entry_settings_start(int argc, char **argv, struct entry_settings *entry,
                     struct entry_platform_settings *platform)
{
    struct log_settings log = {0};
    const struct settings_section sections[] = {
        {"entry", entry_keys, G_N_ELEMENTS(entry_keys), entry},
        {"platform", platform_keys, G_N_ELEMENTS(platform_keys), platform},
        {"log", log_settings_keys, log_settings_key_count, &log},
    };
    enum settings_result result = settings_start(
        argc, argv, "dandelionfork-entry",
        "Accepts HTTP requests and passes each to the agent of an endpoint.",
        sections, G_N_ELEMENTS(sections), NULL);

    if (result == SETTINGS_RUN) {
        log_configure((enum log_level)log.level, (enum log_format)log.format,
                      (enum log_output)log.output);
    }
    return result;
}
