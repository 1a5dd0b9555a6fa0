#ifndef IO_COUNTERS_H
#define IO_COUNTERS_H

#include <stdint.h>

/* Counters and histograms of this process, printed as text in the exposition
   format that metric collectors read. Thread-safe. */

struct counter;
struct histogram;
struct _GString;

/* name may carry labels: requests_total{result="ok"}. Lives as long as the
   process. */
struct counter *counter_create(const char *name);
void counter_add(struct counter *counter, int64_t amount);
void counter_set(struct counter *counter, int64_t value);
int64_t counter_get(const struct counter *counter);

/* Durations in milliseconds, in buckets from 1 ms, doubling. labels may be
   "" or like band="1000". */
struct histogram *histogram_create(const char *name, const char *labels);
void histogram_add(struct histogram *histogram, uint64_t value_ms);

/* Appends all of them. */
void counters_print(struct _GString *out);

#endif
