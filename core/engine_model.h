#ifndef CORE_ENGINE_MODEL_H
#define CORE_ENGINE_MODEL_H

#include <stdint.h>

/* Performance of a model engine (inference server) as the operators'
   configuration states it, and time estimates that follow from it. */

struct engine_model {
    uint32_t slots;         /* requests that run at once */
    uint64_t memory_tokens; /* capacity of the KV cache */
    /* A decoding step yields one token for each running request. It takes
       step_ms, and more for each running request and per 1,000 tokens of
       context. */
    double step_ms;
    double step_per_seq_ms;
    double context_ms_per_k;
    /* Prefill takes a time linear in the tokens (rate 0: none), and a time for
       attention, in ms per million pairs of tokens. */
    double prefill_tokens_per_s;
    double attention_ms_per_m_pairs;
    uint32_t chunk_tokens;       /* prefilled in one step at most */
    uint32_t stride_steps;       /* steps between two events of a stream */
    uint64_t mean_output_tokens; /* of one request */
    double hop_ms; /* added to a step if several engines hold the KV cache */
};

/* Time in ms to prefill a prompt that is split evenly among engines (at least
   1). */
double engine_model_prefill_ms(const struct engine_model *model,
                               uint64_t tokens, uint32_t engines);

/* Mean time in ms between two request ends while all slots are taken. A queued
   request waits this long for each place in the queue. */
double engine_model_slot_wait_ms(const struct engine_model *model);

#endif
