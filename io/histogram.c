#include "io/histogram.h"

#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>

enum {
    HISTOGRAM_BUCKETS = 20
};

struct histogram {
    char *name;
    char *labels;
    _Atomic uint64_t buckets[HISTOGRAM_BUCKETS + 1]; /* the last: +Inf */
    _Atomic uint64_t sum_ms;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GPtrArray *histograms;

struct histogram *
histogram_create(const char *name, const char *labels)
{
    struct histogram *histogram = g_new0(struct histogram, 1);

    histogram->name = g_strdup(name);
    histogram->labels = g_strdup(labels);
    pthread_mutex_lock(&lock);
    if (histograms == NULL) {
        histograms = g_ptr_array_new();
    }
    g_ptr_array_add(histograms, histogram);
    pthread_mutex_unlock(&lock);
    return histogram;
}

void
histogram_add(struct histogram *histogram, uint64_t value_ms)
{
    uint32_t bucket = 0;

    while (bucket < HISTOGRAM_BUCKETS && value_ms > (1ULL << bucket)) {
        bucket++;
    }
    atomic_fetch_add_explicit(&histogram->buckets[bucket], 1,
                              memory_order_relaxed);
    atomic_fetch_add_explicit(&histogram->sum_ms, value_ms,
                              memory_order_relaxed);
}

static void
print_histogram(const struct histogram *histogram, GString *out)
{
    const char *comma = histogram->labels[0] != '\0' ? "," : "";
    uint64_t total = 0;

    for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
        total +=
            atomic_load_explicit(&histogram->buckets[i], memory_order_relaxed);
        g_string_append_printf(
            out, "%s_bucket{%s%sle=\"%" PRIu64 "\"} %" PRIu64 "\n",
            histogram->name, histogram->labels, comma, (uint64_t)1 << i,
            total);
    }
    total += atomic_load_explicit(&histogram->buckets[HISTOGRAM_BUCKETS],
                                  memory_order_relaxed);
    g_string_append_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
                           histogram->name, histogram->labels, comma, total);
    g_string_append_printf(out, "%s_count{%s} %" PRIu64 "\n", histogram->name,
                           histogram->labels, total);
    g_string_append_printf(
        out, "%s_sum{%s} %" PRIu64 "\n", histogram->name, histogram->labels,
        atomic_load_explicit(&histogram->sum_ms, memory_order_relaxed));
}

void
histogram_print_all(GString *out)
{
    pthread_mutex_lock(&lock);
    for (guint i = 0; histograms != NULL && i < histograms->len; i++) {
        print_histogram(g_ptr_array_index(histograms, i), out);
    }
    pthread_mutex_unlock(&lock);
}
