#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

#include <stdbool.h>
#include <stdint.h>

/* TCP proxies on a loopback address, one for each listening port, all served
   by one thread. A proxy can delay, hold, refuse or reset its connections.
   Held bytes are kept and delivered when the proxy passes them again, as TCP
   does after a network outage. soak_proxy_set_mode() and soak_proxy_reset()
   may be called by any thread at any time. */

enum soak_proxy_mode {
    SOAK_PROXY_PASS,             /* forwards at once */
    SOAK_PROXY_DELAY,            /* delays both directions by delay_ms */
    SOAK_PROXY_HOLD_TO_SERVER,   /* forwards nothing to the server */
    SOAK_PROXY_HOLD_FROM_SERVER, /* forwards nothing to the client */
    SOAK_PROXY_HOLD_BOTH,        /* forwards nothing */
    SOAK_PROXY_REFUSE,           /* resets new connections only */
};

struct soak_proxies;
struct soak_proxy;

struct soak_proxies *soak_proxies_create(void);

/* Adds a proxy that listens on ip:port and connects to ip:target_port, before
   soak_proxies_start(). Exits the process if it can't listen. The proxy is
   never freed. */
struct soak_proxy *soak_proxy_add(struct soak_proxies *proxies, const char *ip,
                                  uint16_t port, uint16_t target_port);

/* Starts the thread that serves the proxies. It runs until the process exits.
 */
void soak_proxies_start(struct soak_proxies *proxies);

/* delay_ms is that of SOAK_PROXY_DELAY; other modes ignore it. */
void soak_proxy_set_mode(struct soak_proxy *proxy, enum soak_proxy_mode mode,
                         uint32_t delay_ms);

/* Resets all current connections of the proxy. */
void soak_proxy_reset(struct soak_proxy *proxy);

#endif
