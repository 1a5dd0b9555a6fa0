#include "gateway/gateway_settings.h"

#include <glib.h>
#include <stddef.h>
#include <string.h>

#include "io/log.h"

#define GATEWAY(field) offsetof(struct gateway_settings, field)
#define BOUND(field) offsetof(struct gateway_bounds, field)
#define PLATFORM(field) offsetof(struct gateway_platform_settings, field)

enum {
    SECOND_MS = 1000,
    MINUTE_MS = 60 * SECOND_MS,
    DAY_MS = 24 * 60 * MINUTE_MS,
    MAX_QUARANTINE_MS = 10 * MINUTE_MS, /* longest lease of the store */
    MAX_FACTOR = 1000,
    MAX_COUNT = 1000000,
    /* As many as one gateway decides about in a minute. */
    MAX_WAITING = 16384,
    MIN_BUFFERED_BYTES = 1024 * 1024,
    /* By default half of the machine's memory is for what is held for
       connections. The configuration, connections themselves, and fragments
       of freed memory need the rest. */
    BUFFERED_PART = 2,
};

static const struct ini_key gateway_keys[] = {
    {"instance", INI_NAME, GATEWAY(instance), NULL, 0, 0, NULL},
    {"data_centre", INI_NAME, GATEWAY(data_centre), NULL, 0, 0, NULL},
    {"listen", INI_ADDRESS, GATEWAY(listen), NULL, 0, 0, NULL},
    {"status", INI_ADDRESS, GATEWAY(status), NULL, 0, 0, NULL},
    {"metrics", INI_ADDRESS, GATEWAY(metrics), NULL, 0, 0, NULL},
    {"peers", INI_ADDRESS, GATEWAY(peers), NULL, 0, 0, NULL},
    {"seeds", INI_ADDRESSES, GATEWAY(seeds), "", 0, 0, NULL},
    {"regions", INI_LIST, GATEWAY(regions), "", 0, 0, NULL},
    {"load", INI_DURATION_MS, GATEWAY(min_load_interval_ms), "5ms", 1,
     SECOND_MS, NULL},
    {"grace", INI_DURATION_MS, GATEWAY(grace_ms), "8s", SECOND_MS, DAY_MS,
     NULL},
    {"close", INI_DURATION_MS, GATEWAY(close_ms), "3s", 0, MINUTE_MS, NULL},
    {"park", INI_DURATION_MS, GATEWAY(config_wait_ms), "300ms", 0, MINUTE_MS,
     NULL},
    {"max_waiting", INI_COUNT, GATEWAY(max_waiting), "256", 0, MAX_WAITING,
     NULL},
    {"quarantine", INI_DURATION_MS, GATEWAY(quarantine_ms), "10min", 0,
     MAX_QUARANTINE_MS, NULL},
    {"cpu_share", INI_FRACTION, GATEWAY(cpu_share_millionths), "0", 0,
     MAX_COUNT *(uint64_t)INI_FRACTION_ONE, NULL},
    {"cpu_cores", INI_FRACTION, GATEWAY(cpu_cores_millionths), "0", 0,
     MAX_COUNT *(uint64_t)INI_FRACTION_ONE, NULL},
    {"link_mbps", INI_FRACTION, GATEWAY(link_millionths_mbps), "0", 0,
     MAX_COUNT *(uint64_t)INI_FRACTION_ONE, NULL},
    {"memory_mb", INI_FRACTION, GATEWAY(memory_bytes), "", 0,
     MAX_COUNT *(uint64_t)INI_FRACTION_ONE, NULL},
    {"max_buffered", INI_BYTES, GATEWAY(max_buffered_bytes), "",
     MIN_BUFFERED_BYTES, 0, NULL},
};

static const struct ini_key bounds_keys[] = {
    {"revoke", INI_DURATION_MS, BOUND(revoke_ms), "5s", 0, DAY_MS, NULL},
    {"config_apply", INI_DURATION_MS, BOUND(apply_ms), "2s", SECOND_MS, DAY_MS,
     NULL},
    {"evacuate", INI_DURATION_MS, BOUND(evacuate_ms), "", 0, DAY_MS, NULL},
    {"cold_overage", INI_FRACTION, BOUND(cold_overage_millionths), "1", 0,
     MAX_FACTOR *(uint64_t)INI_FRACTION_ONE, NULL},
    {"cold_slack", INI_FRACTION, BOUND(cold_slack_millionths), "0", 0,
     MAX_COUNT *(uint64_t)INI_FRACTION_ONE, NULL},
    {"budget_ratio", INI_FRACTION, BOUND(budget_ratio_millionths), "0.2", 0,
     MAX_FACTOR *(uint64_t)INI_FRACTION_ONE, NULL},
    {"budget_window", INI_DURATION_MS, BOUND(budget_window_ms), "10s", 1,
     DAY_MS, NULL},
    {"budget_extra", INI_FRACTION, BOUND(budget_extra_millionths), "100", 0,
     MAX_COUNT *(uint64_t)INI_FRACTION_ONE, NULL},
};

static const struct ini_key platform_keys[] = {
    {"store", INI_ADDRESS, PLATFORM(store), NULL, 0, 0, NULL},
    {"member_ttl", INI_DURATION_MS, PLATFORM(registration_ttl_ms), "6s",
     SECOND_MS, MINUTE_MS, NULL},
    {"watch", INI_DURATION_MS, PLATFORM(watch_wait_ms), "1s", 100, MINUTE_MS,
     NULL},
};

enum {
    SECTIONS = 4
};

/* Maps each section of the file to the structure that holds its values. */
static void
fill_sections(struct settings_section sections[SECTIONS],
              struct gateway_all_settings *settings, struct log_settings *log)
{
    const struct settings_section filled[SECTIONS] = {
        {"gateway", gateway_keys, G_N_ELEMENTS(gateway_keys),
         &settings->gateway},
        {"bounds", bounds_keys, G_N_ELEMENTS(bounds_keys), &settings->bounds},
        {"platform", platform_keys, G_N_ELEMENTS(platform_keys),
         &settings->platform},
        {"log", log_settings_keys, log_settings_key_count, log},
    };

    memcpy(sections, filled, sizeof(filled));
}

enum settings_result
gateway_settings_start(int argc, char **argv,
                       struct gateway_all_settings *settings, char **path)
{
    struct log_settings log = {0};
    struct settings_section sections[SECTIONS];
    enum settings_result result;

    fill_sections(sections, settings, &log);
    result = settings_start(
        argc, argv, "dandelionfork-gateway",
        "Accepts HTTP requests and forwards each directly to an endpoint.",
        sections, SECTIONS, path);
    if (result == SETTINGS_RUN) {
        log_configure((enum log_level)log.level, (enum log_format)log.format,
                      (enum log_output)log.output);
    }
    return result;
}

uint64_t
gateway_settings_max_buffered_bytes(const struct gateway_settings *settings)
{
    if (settings->max_buffered_bytes > 0) {
        return settings->max_buffered_bytes;
    }
    if (settings->memory_bytes == 0) {
        return 0;
    }
    return MAX(settings->memory_bytes / BUFFERED_PART, MIN_BUFFERED_BYTES);
}

bool
gateway_settings_reread(const char *path, struct gateway_bounds *bounds,
                        char ***regions)
{
    struct gateway_all_settings read = {0};
    struct log_settings log = {0};
    struct settings_section sections[SECTIONS];
    bool ok;

    fill_sections(sections, &read, &log);
    ok = settings_read(path, sections, SECTIONS);
    if (ok) {
        *bounds = read.bounds;
        *regions = g_strdupv(read.gateway.regions);
    }
    ini_clear(gateway_keys, G_N_ELEMENTS(gateway_keys), &read.gateway);
    ini_clear(platform_keys, G_N_ELEMENTS(platform_keys), &read.platform);
    return ok;
}

double
gateway_settings_cores(const struct gateway_settings *settings)
{
    double cores = (double)settings->cpu_cores_millionths / INI_FRACTION_ONE;

    /* Without a share, all of the cores. */
    return settings->cpu_share_millionths > 0
               ? cores * (double)settings->cpu_share_millionths /
                     INI_FRACTION_ONE
               : cores;
}
