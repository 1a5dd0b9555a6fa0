#include "core/engine_model.h"

static const double pairs_per_million = 1e6;
static const double ms_per_s = 1000.0;

/* Factor by which decoding takes longer on a full engine than its steps alone:
   the engine also prefills the prompts that keep it full. */
static const double prefill_slowdown = 1.3;

double
engine_model_prefill_ms(const struct engine_model *model, uint64_t tokens,
                        uint32_t engines)
{
    double count = (double)tokens;
    double pairs = count * count / 2.0;
    double prefill_ms =
        pairs / pairs_per_million * model->attention_ms_per_m_pairs;

    if (model->prefill_tokens_per_s > 0.0) {
        prefill_ms += count / model->prefill_tokens_per_s * ms_per_s;
    }
    return prefill_ms / (double)engines;
}

double
engine_model_slot_wait_ms(const struct engine_model *model)
{
    double tokens = (double)model->mean_output_tokens;

    return tokens * model->step_ms * prefill_slowdown /
           (double)(model->slots > 0 ? model->slots : 1);
}
