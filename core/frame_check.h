#ifndef CORE_FRAME_CHECK_H
#define CORE_FRAME_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Checks a frame's payload before it is unpacked: only the msgpack items that
   messages use, whole, and only small arrays. msgpack-c allocates what an
   array announces before it has seen the elements, so that a few bytes could
   ask it for gigabytes. */
bool frame_check(const uint8_t *payload, size_t payload_bytes);

#endif
