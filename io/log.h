#ifndef IO_LOG_H
#define IO_LOG_H

#include <stdbool.h>

/* Log lines on standard error or standard output: one line an event, a short
   sentence and key=value fields, or one JSON object a line. Thread-safe. A
   reader that doesn't keep up and more than LOG_MAX_LINES_PER_S lines cost
   lines, never time; how many were lost is said. */

enum log_level {
    LOG_ERROR,
    LOG_WARNING,
    LOG_INFO,
    LOG_DEBUG
};

enum log_format {
    LOG_TEXT,
    LOG_JSON
};

enum log_output {
    LOG_STDERR,
    LOG_STDOUT, /* not blocking */
};

enum {
    /* A process at its busiest writes a few lines a request; this is beyond
       what one core can serve of those. */
    LOG_MAX_LINES_PER_S = 5000
};

/* Called once, before other threads start. */
void log_configure(enum log_level level, enum log_format format,
                   enum log_output output);

bool log_enabled(enum log_level level);

/* Writes one line. part is the fixed prefix of the module; event is a short
   sentence; the fields are a printf format of blank-separated key=value
   pairs, or "" for none. */
void log_write(enum log_level level, const char *part, const char *event,
               const char *fields, ...) __attribute__((format(printf, 4, 5)));

#define LOG_ERR(event, ...) log_write(LOG_ERROR, LOG_PART, event, __VA_ARGS__)
#define LOG_WARN(event, ...)                                                  \
    log_write(LOG_WARNING, LOG_PART, event, __VA_ARGS__)
#define LOG_INFO(event, ...) log_write(LOG_INFO, LOG_PART, event, __VA_ARGS__)
#define LOG_DBG(event, ...) log_write(LOG_DEBUG, LOG_PART, event, __VA_ARGS__)

#endif
