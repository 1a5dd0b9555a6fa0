#ifndef CORE_PEER_PROGRESS_H
#define CORE_PEER_PROGRESS_H

#include <stdbool.h>
#include <stdint.h>

/* Decides whether the peer of one connection takes what is sent to it.
   Progress is what the peer has acknowledged, not what a buffer on the way has
   accepted. A peer that is alive may take nothing for longer than one that
   answers no packet: the latter's machine is taken to be gone. */

struct peer_limits {
    uint32_t max_silence_ms; /* packets are not answered; 0: no limit */
    uint32_t max_stall_ms;   /* nothing is taken; 0: no limit */
    /* A peer that reads at this rate is never taken to stall. Its window opens
       in steps of a segment, so that it may take nothing for as long as it
       reads one. 0: steps don't count. */
    uint32_t min_bytes_per_s;
};

struct peer_sample {
    uint64_t acknowledged_bytes; /* since the connection was opened */
    uint64_t outstanding_bytes;  /* queued, or sent and not acknowledged */
    bool unanswered;             /* packets are sent that call for an answer */
    /* Since the last answer to any packet; 0: not known. A system that does
       not count it says that the answer has come just now, at each sample. */
    uint32_t answered_ago_ms;
    uint32_t segment_bytes; /* 0: not known */
};

enum peer_state {
    PEER_TAKEN,   /* all of it */
    PEER_TAKING,  /* not all, within the limits */
    PEER_STALLED, /* nothing for too long */
    PEER_SILENT,  /* packets were not answered for too long */
};

/* Zeros at first. */
struct peer_progress {
    bool behind; /* at the last sample */
    uint64_t acknowledged_bytes;
    uint64_t progress_ms; /* when these have risen last */
    bool unanswered;
    uint64_t unanswered_ms; /* since when */
    uint64_t silent_since_ms;
    uint64_t sampled_ms; /* last */
};

/* Something is sent to a peer that had taken all. */
void peer_progress_begin(struct peer_progress *progress, uint64_t now_ms);

/* To be called at least once a second while the peer has not taken all. */
enum peer_state peer_progress_update(struct peer_progress *progress,
                                     const struct peer_limits *limits,
                                     const struct peer_sample *sample,
                                     uint64_t now_ms);

/* When the peer is given up for silence unless it answers; UINT64_MAX: not by
   what is known now. */
uint64_t peer_progress_silence_due_ms(const struct peer_progress *progress,
                                      const struct peer_limits *limits);

/* How long the peer has taken nothing of what is sent to it; 0: it has taken
   all. */
uint64_t peer_progress_pause_ms(const struct peer_progress *progress,
                                uint64_t now_ms);

#endif
