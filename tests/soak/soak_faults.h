#ifndef TESTS_SOAK_FAULTS_H
#define TESTS_SOAK_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

/* Faults by seed, which overlap, and what operators do meanwhile. Main thread
   only. */

struct soak_faults;
struct soak_fleet;

struct soak_faults *soak_faults_create(struct soak_fleet *fleet,
                                       uint64_t seed);

/* Begins and ends what is due. */
void soak_faults_tick(struct soak_faults *faults, uint64_t now_ms);

/* Starts what was told to end and has ended. */
void soak_faults_restart(struct soak_faults *faults, uint64_t now_ms);

/* Ends all faults; no new ones begin. */
void soak_faults_end(struct soak_faults *faults, uint64_t now_ms);

/* How many have begun. */
uint32_t soak_faults_count(const struct soak_faults *faults);

#endif
