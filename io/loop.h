#ifndef IO_LOOP_H
#define IO_LOOP_H

#include <stdbool.h>
#include <stdint.h>

/* Event loop of one thread, over epoll: file descriptors, timers and calls
   posted by other threads. All handlers run on the thread that calls
   loop_run(). All functions are for this thread only, unless they say
   otherwise. */

struct loop;
struct loop_timer;

/* Returns NULL if the system has no descriptors left. */
struct loop *loop_create(void);
void loop_destroy(struct loop *loop);

/* Milliseconds since the system booted, including time when it was suspended:
   limits, leases and grants run out meanwhile. Any thread. */
uint64_t loop_clock_ms(void);

/* loop_clock_ms() at the start of the current iteration. */
uint64_t loop_now_ms(const struct loop *loop);

/* Calls the handler when one of the epoll events occurs on the descriptor. The
   calling module still owns the descriptor, and calls loop_unwatch() before it
   closes it. Returns false if the system refuses. */
bool loop_watch(struct loop *loop, int fd, uint32_t events,
                void (*handler)(void *data, int fd, uint32_t events),
                void *data);
/* Replaces the events that are watched. Returns false if the descriptor isn't
   watched or the system refuses. */
bool loop_update_watch(struct loop *loop, int fd, uint32_t events);
void loop_unwatch(struct loop *loop, int fd);

struct loop_timer *
loop_timer_create(struct loop *loop,
                  void (*handler)(void *data, uint64_t now_ms), void *data);
/* Sets or changes the time at which the timer fires, in time of
   loop_now_ms(). A timer fires once; it can be armed again. */
void loop_timer_arm(struct loop_timer *timer, uint64_t at_ms);
void loop_timer_disarm(struct loop_timer *timer);
void loop_timer_destroy(struct loop_timer *timer);

/* Queues a call of the handler on the loop thread. Calls run in the order in
   which they were posted. Any thread. */
void loop_post(struct loop *loop, void (*handler)(void *data, uint64_t now_ms),
               void *data);

/* Calls the handler once the present handler of a descriptor, a timer or a
   posted call has returned, before any other one runs. It can't be withdrawn,
   so data must still be valid then. */
void loop_defer(struct loop *loop,
                void (*handler)(void *data, uint64_t now_ms), void *data);

/* The longest time for which the loop stood still: handlers of one iteration
   ran, or the process was not run when it should have been. Since the start,
   and in the last one to two minutes. */
uint64_t loop_longest_stall_ms(const struct loop *loop);
uint64_t loop_recent_stall_ms(const struct loop *loop);

/* Sets the handler that is called at the end of each iteration, before the
   loop waits for events again. */
void loop_set_iteration_handler(struct loop *loop,
                                void (*handler)(void *data, uint64_t now_ms),
                                void *data);

void loop_run(struct loop *loop);
/* Makes loop_run() return after the current iteration. */
void loop_stop(struct loop *loop);

#endif
