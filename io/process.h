#ifndef IO_PROCESS_H
#define IO_PROCESS_H

#include <stdbool.h>
#include <stdint.h>

/* What each of our processes does at its start. */

struct loop;

/* Ignores SIGPIPE, and reports SIGTERM and SIGINT on the loop thread. To be
   called before any thread starts. Returns false with errno. */
bool process_watch_signals(struct loop *loop,
                           void (*handler)(void *data, int signal_number),
                           void *data);

/* 64 random bits that no other process has. */
uint64_t process_new_incarnation(void);

#endif
