#include "gateway/assignment.h"

#include <string.h>

#include "gateway/holds.h"
#include "gateway/peers.h"

void
assignment_begin(struct assignment *assignment,
                 const struct placement_request *request, bool is_stream,
                 struct peers *peers, uint64_t now_ms)
{
    const struct placement *placement = &assignment->placement;
    double prefill_ms =
        request->service->has_engine
            ? engine_model_prefill_ms(&request->service->engine,
                                      request->prompt_tokens, placement->count)
            : 0.0;

    for (uint32_t i = 0; i < placement->count; i++) {
        assignment->works[i] = (struct endpoint_work){
            .started_ms = now_ms,
            .prefill_ms = prefill_ms,
            .is_stream = i == 0 && is_stream,
            .tokens = i <= placement->holders ? placement->part_tokens : 0,
            .gap_class = request->gap_class,
            .value = request->value};
        endpoint_ref(placement->engines[i]);
        endpoint_add_work(placement->engines[i], &assignment->works[i]);
    }
    assignment->born_ms = placement->engines[0]->born_ms;
    assignment->active = true;
    peers_load_changed(peers);
}

void
assignment_record_event(struct assignment *assignment, bool late,
                        struct peers *peers, uint64_t now_ms)
{
    struct endpoint_work *work = &assignment->works[0];
    bool changed = false;

    if (!work->prefilled) {
        hold_group_mark_used(assignment->holds);
        for (uint32_t i = 0; i < assignment->placement.count; i++) {
            endpoint_work_prefilled(assignment->placement.engines[i],
                                    &assignment->works[i], now_ms);
        }
        changed = true;
    }
    if (late && work->value > 0.0) {
        work->value = 0.0;
        changed = true;
    }
    if (changed) {
        peers_load_changed(peers);
    }
}

void
assignment_end(struct assignment *assignment, struct peers *peers)
{
    const struct placement *placement = &assignment->placement;

    hold_group_release(assignment->holds);
    assignment->holds = NULL;
    if (!assignment->active) {
        return;
    }
    for (uint32_t i = 0; i < placement->count; i++) {
        endpoint_remove_work(placement->engines[i], &assignment->works[i]);
        endpoint_unref(placement->engines[i]);
    }
    memset(&assignment->placement, 0, sizeof(assignment->placement));
    assignment->active = false;
    peers_load_changed(peers);
}

struct endpoint *
assignment_endpoint(const struct assignment *assignment)
{
    return assignment->active ? assignment->placement.engines[0] : NULL;
}

bool
assignment_is_current(const struct assignment *assignment)
{
    return assignment->active &&
           assignment->placement.engines[0]->born_ms == assignment->born_ms;
}
