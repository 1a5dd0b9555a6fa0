#ifndef IO_HISTOGRAM_H
#define IO_HISTOGRAM_H

#include <stdint.h>

/* Histograms of durations, printed in the Prometheus text exposition format.
   Thread-safe. */

struct histogram;
struct _GString;

/* Creates and registers a histogram. The upper bounds of its buckets are 1, 2,
   4 ms and so on up to 2^19 ms, and +Inf. labels is "" or comma-separated
   labels such as band="1000". A histogram is never freed. */
struct histogram *histogram_create(const char *name, const char *labels);
void histogram_add(struct histogram *histogram, uint64_t value_ms);

/* Appends the text of all histograms. */
void histogram_print_all(struct _GString *out);

#endif
