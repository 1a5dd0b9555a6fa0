#ifndef CORE_FRAME_CHECK_H
#define CORE_FRAME_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Checks a frame's payload before it is unpacked. Returns true if the payload
   has only complete msgpack items of the types that messages use, and arrays
   announce few elements; whether these follow is not checked. msgpack-c
   allocates memory for the announced length of an array before it reads the
   elements, so a frame of a few bytes could make it allocate gigabytes. */
bool frame_check(const uint8_t *payload, size_t payload_bytes);

#endif
