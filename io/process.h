#ifndef IO_PROCESS_H
#define IO_PROCESS_H

#include <stdbool.h>
#include <stdint.h>

/* Signals, graceful shutdown and the incarnation of a process. */

struct loop;

/* Steps of a graceful shutdown after SIGTERM or SIGINT. All handlers run on
   the loop thread. */
struct process_drain {
    uint64_t grace_ms; /* between begin and close */
    /* Announces to other processes that this one is draining. */
    void (*begin)(void *data, int signal_number);
    /* Stops taking new work. A second signal ends the grace time early. */
    void (*close)(void *data);
    /* Returns whether the process may stop: no work is in progress, or the
       time for it is over. Polled after close; when it returns true, the loop
       is stopped. */
    bool (*idle)(void *data, uint64_t now_ms);
};

/* Blocks SIGTERM, SIGINT and SIGHUP, so that they stay pending until the
   functions below handle them. It is called first, so that none of them kills
   a process that is starting. */
void process_block_signals(void);

/* Ignores SIGPIPE, and starts the shutdown on SIGTERM or SIGINT. Called before
   any thread starts, since threads inherit the signal mask. The drain is
   copied. Returns false with errno. */
bool process_drain_on_signals(struct loop *loop,
                              const struct process_drain *drain, void *data);

/* Calls the handler on the loop thread for each SIGHUP. Called before any
   thread starts. Returns false with errno. */
bool process_on_hangup(struct loop *loop, void (*handler)(void *data),
                       void *data);

/* Returns 64 random bits, not all 0, that tell this run of the process from
   all others. */
uint64_t process_new_incarnation(void);

#endif
