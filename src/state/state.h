/**
 * DOC: state - errors of the state layer
 */
#ifndef RST_STATE_H
#define RST_STATE_H

/**
 * enum rst_state_error - Errors of the state layer.
 * @RST_STATE_OK: Success.
 * @RST_STATE_INVALID: A value is unsound.
 * @RST_STATE_STALE: A newer revision is held.
 * @RST_STATE_UNKNOWN: There is no such thing.
 * @RST_STATE_FULL: A bound was reached.
 */
enum rst_state_error
{
  RST_STATE_OK = 0,
  RST_STATE_INVALID,
  RST_STATE_STALE,
  RST_STATE_UNKNOWN,
  RST_STATE_FULL,
};

/** rst_state_strerror() - Describes an error of this layer. */
const char *rst_state_strerror (int error);

#endif
