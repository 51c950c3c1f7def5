/**
 * DOC: state - errors of the state layer
 */
#ifndef RST_STATE_H
#define RST_STATE_H

/**
 * enum rst_state_error - Errors of the state layer.
 * @RST_STATE_OK: Success.
 * @RST_STATE_INVALID: A value is invalid.
 * @RST_STATE_STALE: This revision or a newer one is already known.
 * @RST_STATE_UNKNOWN: The object does not exist.
 * @RST_STATE_FULL: A fixed-size table has no free entry.
 */
enum rst_state_error
{
  RST_STATE_OK = 0,
  RST_STATE_INVALID,
  RST_STATE_STALE,
  RST_STATE_UNKNOWN,
  RST_STATE_FULL,
};

/**
 * rst_state_strerror() - Describes an error.
 * @error: A value of enum rst_state_error.
 *
 * Return: A static string.
 */
const char *rst_state_strerror (int error);

#endif
