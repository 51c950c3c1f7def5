#include "cell/entry_state.h"

#include <string.h>

#include <glib.h>

void
rst_entry_state_init (struct rst_entry_state *state, rst_ms now)
{
  memset (state, 0, sizeof *state);
  state->unserved_since = now;
  state->evaluated_at = now;
}

void
rst_entry_state_run (struct rst_entry_state *state, rst_ms now)
{
  rst_ms gap = now - state->evaluated_at;

  state->evaluated_at = now;
  if (gap <= RST_ENTRY_GAP_MAX_MS)
    return;
  state->heard_at += MIN (gap, now - state->heard_at);
  state->unserved_since += MIN (gap, now - state->unserved_since);
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
  state->heard_at = now;
}

void
rst_entry_state_heartbeat (struct rst_entry_state *state, rst_ms now,
                           rst_ms sent_at)
{
  state->heard_at = MAX (state->heard_at, sent_at != 0 ? sent_at : now);
}

bool
rst_entry_state_is_silent (const struct rst_entry_state *state, rst_ms now)
{
  return state->linked && now - state->heard_at > RST_ENTRY_SILENCE_MS;
}

/* Since when no planner has served.  A silent planner counts as lost from when
   that was noticed, so that the wait for its successor is as long as after the
   closing of a link. */
static rst_ms
get_unserved_since (const struct rst_entry_state *state, rst_ms now)
{
  if (!is_served (state))
    return state->unserved_since;
  return rst_entry_state_is_silent (state, now)
             ? state->heard_at + RST_ENTRY_SILENCE_MS
             : now;
}

void
rst_entry_state_link_lost (struct rst_entry_state *state, rst_ms now)
{
  /* Another planner that does not serve yet is no new succession. */
  state->unserved_since = get_unserved_since (state, now);
  state->linked = false;
  state->serving = false;
  state->withdrawn = false;
}

enum rst_entry_action
rst_entry_state_decide (const struct rst_entry_state *state, rst_ms now)
{
  if (is_served (state) && !rst_entry_state_is_silent (state, now))
    return RST_ENTRY_SEND;
  if (state->withdrawn
      || now - get_unserved_since (state, now) > RST_ENTRY_SUCCESSION_MS)
    return RST_ENTRY_REJECT;
  return RST_ENTRY_WAIT;
}

rst_ms
rst_entry_state_next_change (const struct rst_entry_state *state, rst_ms now)
{
  enum rst_entry_action action = rst_entry_state_decide (state, now);

  if (action == RST_ENTRY_SEND)
    return state->heard_at + RST_ENTRY_SILENCE_MS + 1;
  if (action == RST_ENTRY_WAIT)
    return get_unserved_since (state, now) + RST_ENTRY_SUCCESSION_MS + 1;
  return 0;
}
