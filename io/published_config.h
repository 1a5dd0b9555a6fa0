#ifndef IO_PUBLISHED_CONFIG_H
#define IO_PUBLISHED_CONFIG_H

#include <stdbool.h>

/* The configuration in force in this process, published to reader threads by
   liburcu. Generations only rise. */

struct config;

/* Each reading thread calls this when it starts. */
void published_config_register_thread(void);

/* Reads between lock and unlock; the configuration stays valid that long.
   Returns NULL if none was published yet. */
const struct config *published_config_lock(void);
void published_config_unlock(void);

/* Takes the configuration over and waits until nobody reads the former one.
   Returns false, and destroys it, unless its generation is higher. Not to be
   called between lock and unlock. */
bool published_config_publish(struct config *config);

#endif
