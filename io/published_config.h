#ifndef IO_PUBLISHED_CONFIG_H
#define IO_PUBLISHED_CONFIG_H

#include <stdbool.h>

/* The configuration in force in this process. Threads read it under RCU
   (liburcu). Its generation, the number of its version, never decreases. */

struct config;

/* Each reading thread calls this once, when it starts. */
void published_config_register_thread(void);

/* Begins an RCU read section and returns the configuration, which is valid
   until published_config_read_unlock(). Returns NULL if none has been
   published yet. Doesn't block. */
const struct config *published_config_read_lock(void);
void published_config_read_unlock(void);

/* Takes ownership of a configuration and publishes it if its generation is
   higher than that of the configuration in force; otherwise destroys it and
   returns false. Blocks until no thread reads the previous configuration, so
   it must not be called in a read section. */
bool published_config_publish(struct config *config);

#endif
