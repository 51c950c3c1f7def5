#include "cell/entry_state.h"

#include <string.h>

void
rst_entry_state_init (struct rst_entry_state *state, rst_ms now)
{
  memset (state, 0, sizeof *state);
  state->unserved_since = now;
}

static bool
is_served (const struct rst_entry_state *state)
{
  return state->linked && state->serving;
}

void
rst_entry_state_welcome (struct rst_entry_state *state, rst_ms now,
                         bool serving)
{
  if (is_served (state) && !serving)
    {
      state->withdrawn = true;
      state->unserved_since = now;
    }
  else if (serving)
    state->withdrawn = false;
  state->linked = true;
  state->serving = serving;
}

void
rst_entry_state_link_lost (struct rst_entry_state *state, rst_ms now)
{
  /* Another planner that does not serve yet is no new succession. */
  if (is_served (state))
    state->unserved_since = now;
  state->linked = false;
  state->serving = false;
  state->withdrawn = false;
}

enum rst_entry_action
rst_entry_state_decide (const struct rst_entry_state *state, rst_ms now)
{
  if (is_served (state))
    return RST_ENTRY_SEND;
  if (state->withdrawn
      || now - state->unserved_since > RST_ENTRY_SUCCESSION_MS)
    return RST_ENTRY_REJECT;
  return RST_ENTRY_WAIT;
}

rst_ms
rst_entry_state_next_change (const struct rst_entry_state *state, rst_ms now)
{
  if (rst_entry_state_decide (state, now) != RST_ENTRY_WAIT)
    return 0;
  return state->unserved_since + RST_ENTRY_SUCCESSION_MS + 1;
}
