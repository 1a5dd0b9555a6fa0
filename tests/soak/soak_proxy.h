#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

#include <stdbool.h>
#include <stdint.h>

/* Loopback proxies, one a listening port, all served by one thread. What a
   proxy does to its connections may change at any time. Bytes are never lost
   while a connection lasts: a cut network delivers them when it is back. */

enum soak_way {
    SOAK_PASS,
    SOAK_DELAY,     /* both ways, by delay_ms */
    SOAK_HOLD_TO,   /* nothing reaches the server */
    SOAK_HOLD_FROM, /* nothing comes from the server */
    SOAK_SILENT,    /* nothing either way */
    SOAK_REFUSE,    /* new connections are reset */
};

struct soak_proxies;
struct soak_proxy;

struct soak_proxies *soak_proxies_create(void);

/* Listens on ip:port and connects to ip:target. Ends the process if it can't.
 */
struct soak_proxy *soak_proxy_add(struct soak_proxies *proxies, const char *ip,
                                  uint16_t port, uint16_t target);

/* Serves the proxies that were added, in a thread of its own. */
void soak_proxies_start(struct soak_proxies *proxies);

void soak_proxy_set(struct soak_proxy *proxy, enum soak_way way,
                    uint32_t delay_ms);

/* Resets all its connections. */
void soak_proxy_reset(struct soak_proxy *proxy);

#endif
