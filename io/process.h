#ifndef IO_PROCESS_H
#define IO_PROCESS_H

#include <stdbool.h>
#include <stdint.h>

/* What each of our processes does at its start and its end. */

struct loop;

/* How a process ends in order after SIGTERM or SIGINT. All on the loop
   thread. */
struct process_drain {
    uint64_t grace_ms; /* between begin and close */
    /* Tell others that we leave. */
    void (*begin)(void *data, int signal_number);
    /* Take nothing new from now on. A second signal brings it at once. */
    void (*close)(void *data);
    /* Whether nothing is in progress any more: then the loop ends. */
    bool (*idle)(void *data, uint64_t now_ms);
};

/* Lets SIGTERM, SIGINT and SIGHUP wait until the functions below take them. To
   be called first, so that none of them ends a process that has just started.
   */
void process_hold_signals(void);

/* Ignores SIGPIPE, and drains on SIGTERM and SIGINT. To be called before any
   thread starts. The drain is copied. Returns false with errno. */
bool process_drain_on_signals(struct loop *loop,
                              const struct process_drain *drain, void *data);

/* Calls the handler on the loop thread for each SIGHUP. To be called before
   any thread starts. Returns false with errno. */
bool process_on_hangup(struct loop *loop, void (*handler)(void *data),
                       void *data);

/* 64 random bits that no other process has. */
uint64_t process_new_incarnation(void);

#endif
