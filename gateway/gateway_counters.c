#include "gateway/gateway_counters.h"

#include <glib.h>

#include "io/histogram.h"
#include "io/store.h"

static const char *const metric_names[GATEWAY_COUNTER_COUNT] = {
    [COUNT_REQUESTS] = "requests_total",
    [COUNT_ANSWERED] = "answered_total",
    [COUNT_REFUSED_NOT_RUN] = "refused_not_run_total",
    [COUNT_REFUSED_FINAL] = "refused_final_total",
    [COUNT_FAILED] = "failed_total",
    [COUNT_TRUNCATED] = "cut_total",
    [COUNT_CALLER_LEFT] = "left_total",
    [COUNT_ATTEMPTS] = "sends_total",
    [COUNT_RETRIES] = "sends_again_total",
    [COUNT_RETRY_BUDGET_EMPTY] = "budget_empty_total",
    [COUNT_RESUMED] = "resumed_total",
    [COUNT_ENDLESS] = "endless_total",
    [COUNT_BROKEN_UNANSWERED] = "broken_unanswered_total",
    [COUNT_QUARANTINED] = "quarantined_total",
    [COUNT_BODIES_REFUSED] = "bodies_refused_total",
    [COUNT_READERS_ENDED] = "readers_ended_total",
    [COUNT_READERS_STALLED] = "readers_stalled_total",
    [COUNT_IDLE_CLOSED] = "idle_closed_total",
    [COUNT_ACCEPT_PAUSES] = "accept_pauses_total",
    [COUNT_UNREAD] = "unread_total",
    [COUNT_DELAYED] = "delayed_total",
    [COUNT_REFUSED_FOR_ROOM] = "refused_for_room_total",
    [COUNT_REFUSED_DRAINING] = "refused_draining_total",
    [COUNT_STOPPED] = "stopped_total",
    [COUNT_REFUSED_ITEMS] = "refused_items_total",
};

/* Least prompt length of each band, in tokens. Band 0 is for requests without
   a prompt; shorter prompts than band 1's belong to band 1 too. */
static const uint64_t band_min_tokens[] = {0, 1000, 10000, 100000};
static const char *const band_labels[] = {"band=\"plain\"", "band=\"1000\"",
                                          "band=\"10000\"", "band=\"100000\""};

static uint64_t counts[GATEWAY_COUNTER_COUNT];
static uint64_t unavailable[AVAILABILITY_REASONS];
static struct histogram *first_response_ms[G_N_ELEMENTS(band_min_tokens)];
static struct histogram *wait_ms;

void
gateway_counters_init(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(band_min_tokens); i++) {
        first_response_ms[i] = histogram_create(
            "dandelionfork_gateway_first_answer_ms", band_labels[i]);
    }
    wait_ms = histogram_create("dandelionfork_gateway_wait_ms", "");
}

void
gateway_counters_count(enum gateway_counter counter)
{
    counts[counter]++;
}

void
gateway_counters_count_unavailable(enum availability_reason reason)
{
    unavailable[reason]++;
}

void
gateway_counters_add_first_ms(uint64_t prompt_tokens, uint64_t time_ms)
{
    size_t band = 0;

    while (band + 1 < G_N_ELEMENTS(band_min_tokens) &&
           prompt_tokens >= band_min_tokens[band + 1]) {
        band++;
    }
    if (band == 0 && prompt_tokens > 0) {
        band = 1;
    }
    histogram_add(first_response_ms[band], time_ms);
}

void
gateway_counters_add_wait_ms(uint64_t time_ms)
{
    histogram_add(wait_ms, time_ms);
}

void
gateway_counters_print(GString *out)
{
    for (size_t i = 0; i < GATEWAY_COUNTER_COUNT; i++) {
        g_string_append_printf(
            out, "dandelionfork_gateway_%s %" G_GUINT64_FORMAT "\n",
            metric_names[i], counts[i]);
    }
    for (size_t i = AVAILABILITY_OK + 1; i < AVAILABILITY_REASONS; i++) {
        g_string_append_printf(
            out,
            "dandelionfork_gateway_unavailable_total{reason=\"%s\"} "
            "%" G_GUINT64_FORMAT "\n",
            availability_reason_name((enum availability_reason)i),
            unavailable[i]);
    }
    g_string_append_printf(
        out, "dandelionfork_gateway_store_calls_total %" G_GUINT64_FORMAT "\n",
        store_call_count());
    histogram_print_all(out);
}
