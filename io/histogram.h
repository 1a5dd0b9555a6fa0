#ifndef IO_HISTOGRAM_H
#define IO_HISTOGRAM_H

#include <stdint.h>

/* Histograms of durations, printed as text in the exposition format that
   metric collectors read. Thread-safe. */

struct histogram;
struct _GString;

/* Durations in milliseconds, in buckets from 1 ms, doubling. labels may be
   "" or like band="1000". Lives as long as the process. */
struct histogram *histogram_create(const char *name, const char *labels);
void histogram_add(struct histogram *histogram, uint64_t value_ms);

/* Appends all of them. */
void histograms_print(struct _GString *out);

#endif
