#include "core/store_revision.h"

#include <inttypes.h>
#include <stdio.h>

enum {
    NUMBER_BITS = 40,
};

static const uint64_t max_number = (UINT64_C(1) << NUMBER_BITS) - 1;

uint64_t
store_revision_make(uint64_t era, uint64_t number)
{
    if (era > STORE_REVISION_MAX_ERA || number == 0 || number > max_number) {
        return 0;
    }
    return era << NUMBER_BITS | number;
}

uint64_t
store_revision_era(uint64_t revision)
{
    return revision >> NUMBER_BITS;
}

uint64_t
store_revision_number(uint64_t revision)
{
    return revision & max_number;
}

bool
store_revision_is_same_era(uint64_t a, uint64_t b)
{
    return store_revision_era(a) == store_revision_era(b);
}

struct store_revision_text
store_revision_text(uint64_t revision)
{
    struct store_revision_text out;
    uint64_t era = store_revision_era(revision);

    if (era == 0) {
        snprintf(out.text, sizeof(out.text), "%" PRIu64, revision);
    }
    else {
        snprintf(out.text, sizeof(out.text), "%" PRIu64 ".%" PRIu64, era,
                 store_revision_number(revision));
    }
    return out;
}
