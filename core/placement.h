#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/catalog.h"

/* Which endpoint a request goes to. For a prompt the sum of what is lost is
   smallest: the prompt's own chance of a late first event, and the streams
   whose pauses its prefill stretches over what they allow. Prompts with short
   answers in view are packed, which leaves endpoints free for long reads; a
   long prompt is read by several engines where that loses less. */

struct endpoint;

enum {
    PLACEMENT_MAX_ENGINES = 16, /* that read one prompt */
};

struct placement_request {
    const struct catalog_service *service;
    const char *gateway;
    uint32_t gateways;       /* how many there are */
    const char *data_centre; /* of the gateway */
    uint64_t prompt_tokens;  /* 0: a plain call */
    uint64_t output_tokens;
    uint32_t first_aim_ms; /* what is left of it */
    uint32_t pause_class;
    double worth;
};

/* The first one answers the caller, the others help to read. Of a prompt that
   is larger than one engine's memory, the first helpers also hold a part. */
struct placement {
    struct endpoint *engines[PLACEMENT_MAX_ENGINES];
    uint32_t count;       /* 0: there is no endpoint */
    uint32_t holders;     /* helpers that hold a part */
    uint64_t part_tokens; /* that each of them holds */
    double first_ms;      /* expected until the first event; prompts only */
    double dear_ms;       /* over 0: not placed, the engines' time is worth
                             more with what else there is to do; it would be
                             after so long if nothing else came */
};

/* What a prompt in time is worth, in units of a plain call. */
double placement_worth(uint64_t prompt_tokens);

/* How many engines' memory a prompt takes; 1: a single one has room. */
uint32_t placement_memory_engines(const struct engine_model *engine,
                                  uint64_t tokens);

/* candidates: struct endpoint *. */
void placement_choose(const struct placement_request *request,
                      const GPtrArray *candidates, uint64_t now_ms,
                      GRand *random, struct placement *placement);

#endif
