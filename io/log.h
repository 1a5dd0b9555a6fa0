#ifndef IO_LOG_H
#define IO_LOG_H

#include <stdbool.h>

/* Log on standard error or standard output, with one line per event: a short
   sentence and key=value fields, or a JSON object. Thread-safe. Lines beyond
   LOG_MAX_LINES_PER_S are dropped, and so are lines that standard output can't
   take immediately; the number of dropped lines is written before the next
   line. */

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
    LOG_STDOUT, /* non-blocking; lines are dropped when it is full */
};

enum {
    /* A process writes at most a few lines per request, and one core can't
       serve enough requests to reach this rate. */
    LOG_MAX_LINES_PER_S = 5000
};

/* Called once, before other threads start. Without it, lines up to LOG_INFO
   go to standard error as text. */
void log_configure(enum log_level level, enum log_format format,
                   enum log_output output);

bool log_enabled(enum log_level level);

/* Writes one line. part names the module, event is a short sentence, and
   fields is a printf format of blank-separated key=value pairs, or "" for
   none. */
void log_write(enum log_level level, const char *part, const char *event,
               const char *fields, ...) __attribute__((format(printf, 4, 5)));

/* The macros need a LOG_PART in the source file, the module's name. */
#define LOG_ERR(event, ...) log_write(LOG_ERROR, LOG_PART, event, __VA_ARGS__)
#define LOG_WARN(event, ...)                                                  \
    log_write(LOG_WARNING, LOG_PART, event, __VA_ARGS__)
#define LOG_INFO(event, ...) log_write(LOG_INFO, LOG_PART, event, __VA_ARGS__)
#define LOG_DBG(event, ...) log_write(LOG_DEBUG, LOG_PART, event, __VA_ARGS__)

#endif
