#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/catalog.h"

/* Chooses the endpoint for a request. For a prompt, the choice minimises the
   expected loss of value: the new prompt's first event may be late, and its
   prefill may stretch the gaps of running streams beyond their targets.
   Streams with the smallest gap target are packed onto few engines, which
   keeps the other engines free for long prefills. Several engines share the
   prefill of a long prompt if that lowers the loss. Warm engines go before
   cold ones, other things about equal. The module keeps no state
   and takes no locks; it reads the endpoints, so call it on their thread. */

struct endpoint;

enum {
    /* Largest number of engines in a struct placement. placement_choose() uses
       fewer. */
    PLACEMENT_MAX_ENGINES = 16,
};

struct placement_request {
    const struct catalog_service *service;
    const char *gateway;     /* instance of the gateway that places it */
    uint32_t gateway_count;  /* this one included; at least 1 */
    const char *data_centre; /* of the gateway */
    /* The gateway's place among those of its data centre, in an order that all
       of them know, from 0, and their number; 0: not known. */
    uint32_t local_rank;
    uint32_t local_gateways;
    uint64_t prompt_tokens; /* 0: a plain call */
    uint64_t output_tokens; /* upper bound */
    /* Time left until the route's target for the first event. */
    uint32_t first_event_target_ms;
    uint32_t gap_class; /* from catalog_gap_class() */
    double value;       /* from placement_prompt_value() */
    /* Whether a candidate may get the request; NULL: all may. */
    bool (*may_use)(void *data, const struct endpoint *endpoint);
    void *may_use_data;
};

/* engines[0] answers the caller; the others are helpers that share the
   prefill. If the prompt exceeds one engine's KV memory, the first helpers
   also hold a part of its KV cache. The endpoints are borrowed. */
struct placement {
    struct endpoint *engines[PLACEMENT_MAX_ENGINES];
    uint32_t count;       /* engines in use; 0: no placement is possible */
    uint32_t holders;     /* helpers that hold a part of the KV cache */
    uint64_t part_tokens; /* size of each part, the first engine's included */
    /* Expected time to the first event; 0 for plain calls. */
    double first_event_ms;
    /* Above 0, a new prompt should be deferred although engines is filled: it
       would take more engine time than it is worth while other work waits. It
       would be placed after this time if no other work arrived. */
    double deferral_ms;
};

/* Value of a prompt whose targets are met, in units of the value of a plain
   call. */
double placement_prompt_value(uint64_t prompt_tokens);

/* Least number of engines that can hold the KV cache of that many tokens. Of
   several engines, each gives only a share of its memory and keeps the rest
   for its other requests. 1 if the memory of the engines is not known. */
uint32_t placement_min_engines(const struct engine_model *engine,
                               uint64_t tokens);

/* Fills placement with the best of the candidates (struct endpoint *), which
   are borrowed. random breaks ties between equal endpoints. */
void placement_choose(const struct placement_request *request,
                      const GPtrArray *candidates, uint64_t now_ms,
                      GRand *random, struct placement *placement);

#endif
