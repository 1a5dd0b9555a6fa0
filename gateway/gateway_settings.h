#ifndef GATEWAY_GATEWAY_SETTINGS_H
#define GATEWAY_GATEWAY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/ini.h"
#include "io/settings.h"

/* Settings of dandelionfork-gateway, from its settings file. Each key is
   described in docs/man/dandelionfork-gateway.1.md. */

struct gateway_settings {
    /* [gateway] */
    char *instance;
    char *data_centre;
    struct ini_address listen;  /* for callers' requests */
    struct ini_address status;  /* for readiness checks */
    struct ini_address metrics; /* for scrapes of metrics */
    struct ini_address peers;   /* for other gateways */
    char **regions;             /* "data centre=region" of each data centre */
    char **seeds; /* "ip:port" of gateways, used until the list is known */
    uint64_t min_load_interval_ms; /* between two load messages */
    uint64_t grace_ms;             /* from the signal to the exit, at most */
    /* From the signal until the listening socket closes; the grace_ms of
       struct process_drain. */
    uint64_t close_ms;
    /* How long a request waits for the process's first configuration. */
    uint64_t config_wait_ms;
    /* Prompts that may wait for busy engines; 0: none waits. */
    uint64_t max_waiting;
    /* How long a crash of an endpoint counts against a request or a prompt
       part; 0: none is put under quarantine. */
    uint64_t quarantine_ms;
    /* What the platform gives this process of its machine: a share of a number
       of cores, and a link; 0: not known. */
    uint64_t cpu_share_millionths;
    uint64_t cpu_cores_millionths;
    uint64_t link_millionths_mbps;
    /* Of the machine, memory_mb; 0: unknown. Millionths of a megabyte. */
    uint64_t memory_bytes;
    /* Most that is held for callers, endpoints and gateways that do not take
       it; 0: by memory_bytes, see gateway_settings_max_buffered_bytes(). */
    uint64_t max_buffered_bytes;
};

/* Cores that the process may use; 0: not known. */
double gateway_settings_cores(const struct gateway_settings *settings);

/* The settings that may change while the process runs. */
struct gateway_bounds {
    /* [bounds] */
    /* Longest time from the removal of an API key until this gateway refuses
       it, even if it can't reach the store. */
    uint64_t revoke_ms;
    /* Longest time from an operator's change until this gateway has it in
       force, if it reaches the store. */
    uint64_t apply_ms;
    /* See struct forwarder_settings; 0: not given. */
    uint64_t evacuate_ms;
    /* See struct cold_bound. */
    uint64_t cold_overage_millionths;
    uint64_t cold_slack_millionths;
    /* Retry budget, see struct forwarder_settings. */
    uint64_t budget_ratio_millionths;
    uint64_t budget_window_ms;
    uint64_t budget_extra_millionths;
};

struct gateway_platform_settings {
    /* [platform] */
    struct ini_address store;
    uint64_t registration_ttl_ms;
    uint64_t watch_wait_ms;
};

struct gateway_all_settings {
    struct gateway_settings gateway;
    struct gateway_bounds bounds;
    struct gateway_platform_settings platform;
};

/* Reads the command line and the settings file and configures the log. On
   SETTINGS_RUN settings are filled, and *path is the file's name, to be freed
   with g_free(). Prints errors on standard error. */
enum settings_result
gateway_settings_start(int argc, char **argv,
                       struct gateway_all_settings *settings, char **path);

/* Bound on what is held for all connections together; 0: none. */
uint64_t
gateway_settings_max_buffered_bytes(const struct gateway_settings *settings);

/* Reads the file again, replaces *bounds and sets *regions, which is to be
   freed with g_strfreev() and may be NULL; the other settings hold until a
   restart. If the file is invalid, prints the errors on standard error,
   returns false and leaves both as they are. */
bool gateway_settings_reread(const char *path, struct gateway_bounds *bounds,
                             char ***regions);

#endif
