#ifndef CORE_STORE_REVISION_H
#define CORE_STORE_REVISION_H

#include <stdbool.h>
#include <stdint.h>

/* Revisions of the platform's store, ordered across its eras. A new era begins
   when the store comes back from an older copy of itself; it then gives out
   again the revision numbers that the copy lacks, with other content. So a
   revision holds the era and the number in one integer, the era first: a
   greater one is later, and two are equal only if they stand for the same
   content. Era 0 is that of a store that tells none; its revisions are plain
   numbers, as earlier builds have them. Revision 0 stands for none. */

enum {
    STORE_REVISION_MAX_ERA = 16777215
};

/* Returns 0 if the era is above the largest one, or the number is 0 or above
   1,099,511,627,775. */
uint64_t store_revision_make(uint64_t era, uint64_t number);

uint64_t store_revision_era(uint64_t revision);
uint64_t store_revision_number(uint64_t revision);

bool store_revision_is_same_era(uint64_t a, uint64_t b);

/* A revision for a log line: "ERA.NUMBER", or the number if the era is 0. */
struct store_revision_text {
    char text[32];
};

struct store_revision_text store_revision_text(uint64_t revision);

#endif
