#include "core/drain_admission.h"

bool
drain_admits(const struct drain_request *request, uint64_t left_ms)
{
    if (request->limit_left_ms <= left_ms) {
        return true;
    }
    if (!request->may_repeat) {
        return request->longest_ms <= left_ms;
    }
    /* Without experience a refusal is no better than the try. */
    return request->usual_ms == UINT64_MAX || request->usual_ms <= left_ms;
}
