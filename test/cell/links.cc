// Links between nodes, and from the callers' entry to a node; see world.h.
#include "world.h"

namespace cell
{

static const Millis link_delay_ms = 1;
// A link is closed this long after its other end has become unreachable.
static const Millis silence_timeout_ms = 1000;
// Period at which a node's network thread checks its links for silence.
static const Millis silence_check_ms = 250;
// Period of check_links().
static const Millis link_check_ms = 50;

static Place
get_place (const LinkEnd &end)
{
  return Place{ end.node, nullptr };
}

// Returns whether the process that opened or accepted the link still runs.
static bool
is_alive (const LinkEnd &end)
{
  return end.node == nullptr
         || (end.node->incarnation == end.incarnation
             && end.node->cell_node != nullptr);
}

uint64_t
World::open_link (Node *from, const std::string &address)
{
  uint64_t end = 2 * next_link_++;
  Link &link = links_[end / 2];

  link.ends[0].node = from;
  link.ends[0].incarnation = from != nullptr ? from->incarnation : 0;
  link.ends[0].heard_at = now ();
  link.ends[0].silence_timeout_ms = silence_timeout_ms;
  if (from != nullptr)
    from->link_ends.insert (end);
  schedule (now () + link_delay_ms,
            [this, end, address] { accept_link (end, address); });
  return end;
}

void
World::accept_link (uint64_t end, const std::string &address)
{
  auto found = links_.find (end / 2);

  if (found == links_.end () || found->second.ends[0].is_closed)
    return;
  Link &link = found->second;
  Node *from = link.ends[0].node;
  Node *to = nullptr;

  for (auto &node : nodes)
    if (node->address == address)
      to = node.get ();
  link.ends[1].node = to;
  if (to != from && to != nullptr
      && (to->is_isolated || (from != nullptr && from->is_isolated)))
    {
      schedule (now () + silence_timeout_ms,
                [this, end] { close_link (end, false); });
      return;
    }
  // The opener gives up after its timeout for silence.
  if (to != nullptr
      && (get_blocked_until (get_place (link.ends[0]), Place{ to, nullptr })
              > 0
          || get_blocked_until (Place{ to, nullptr }, get_place (link.ends[0]))
                 > 0))
    return;
  if (to == nullptr || to->cell_node == nullptr)
    {
      close_link (end, false);
      return;
    }
  link.ends[1].incarnation = to->incarnation;
  to->link_ends.insert (end + 1);
  link.is_open = true;
  for (LinkEnd &side : link.ends)
    {
      side.heard_at = now ();
      if (has_partitions)
        side.silence_timeout_ms
            = silence_timeout_ms + draw_below ((int)silence_check_ms);
    }
  if (from != nullptr)
    deliver_event (from, link.ends[0].incarnation, RST_NET_OPENED, end, "");
  else
    handle_entry_opened ();
}

void
World::deliver_event (Node *node, uint64_t incarnation, rst_net_event event,
                      uint64_t end, const std::string &data)
{
  if (node == nullptr || node->incarnation != incarnation
      || node->cell_node == nullptr)
    return;
  Millis paused_until
      = std::max (node->paused_until, node->links_paused_until);

  if (paused_until > now ())
    {
      schedule (paused_until, [=, this] {
        deliver_event (node, incarnation, event, end, data);
      });
      return;
    }
  rst_cell_node_handle_link_event (node->cell_node, event, end, data.data (),
                                   data.size ());
  run_node (*node);
}

void
World::forget_entry_link ()
{
  entry_link_ = 0;
  planner_is_serving_ = false;
  for (auto &request : entry_requests_)
    {
      request.second.sent_on_lost_link |= request.second.sent;
      request.second.sent = false;
    }
}

void
World::close_link (uint64_t end, bool by_owner)
{
  auto found = links_.find (end / 2);

  if (found == links_.end ())
    return;
  if (has_partitions)
    {
      close_end (end, !by_owner);
      return;
    }
  Link link = found->second;
  uint64_t opener_end = end / 2 * 2;

  links_.erase (found);
  if (opener_end == entry_link_)
    forget_entry_link ();
  for (uint64_t link_end : { opener_end, opener_end + 1 })
    {
      Node *node = link.ends[link_end % 2].node;
      uint64_t incarnation = link.ends[link_end % 2].incarnation;

      if (node == nullptr || node->incarnation != incarnation)
        continue;
      node->link_ends.erase (link_end);
      if (by_owner && link_end == end)
        continue;
      schedule (now () + link_delay_ms, [=, this] {
        deliver_event (node, incarnation, RST_NET_CLOSED, link_end, "");
      });
    }
}

void
World::close_end (uint64_t end, bool is_notified)
{
  Link &link = links_[end / 2];
  LinkEnd &own = link.ends[end % 2];
  LinkEnd &peer = link.ends[(end ^ 1) % 2];
  bool is_held_up = get_blocked_until (get_place (own), get_place (peer)) > 0;

  if (own.is_closed)
    return;
  own.is_closed = true;
  own.frames.clear ();
  if (own.node == nullptr && end == entry_link_)
    forget_entry_link ();
  if (own.node != nullptr && own.node->incarnation == own.incarnation)
    own.node->link_ends.erase (end);
  if (own.node != nullptr && is_notified)
    schedule (now (),
              [this, node = own.node, incarnation = own.incarnation, end] {
                deliver_event (node, incarnation, RST_NET_CLOSED, end, "");
              });
  // Bytes that a cut holds up are lost if the socket is reset, and arrive
  // before the end of the stream otherwise.
  if (is_held_up && draw_unit () < 0.5)
    peer.frames.clear ();
  if (!link.is_open)
    peer.is_closed = true;
  else if (!peer.is_closed)
    {
      peer.frames.push_back (Frame{ now () + link_delay_ms, true, "" });
      schedule (now () + link_delay_ms,
                [this, end] { deliver_frame (end ^ 1); });
    }
  erase_closed_link (end / 2);
}

void
World::lose_end (uint64_t end)
{
  auto found = links_.find (end / 2);

  if (found == links_.end ())
    return;
  Link &link = found->second;

  link.ends[end % 2].is_closed = true;
  link.ends[end % 2].frames.clear ();
  link.ends[(end ^ 1) % 2].frames.clear ();
  if (!link.is_open)
    link.ends[(end ^ 1) % 2].is_closed = true;
  erase_closed_link (end / 2);
}

void
World::erase_closed_link (uint64_t link)
{
  if (links_[link].ends[0].is_closed && links_[link].ends[1].is_closed)
    links_.erase (link);
}

void
World::close_links_of (Node &node, bool silent)
{
  std::set<uint64_t> ends = std::move (node.link_ends);
  Millis delay = silent ? silence_timeout_ms : link_delay_ms;

  node.link_ends.clear ();
  for (uint64_t end : ends)
    {
      if (!has_partitions)
        schedule (now () + delay, [this, end] { close_link (end, false); });
      else if (silent)
        lose_end (end);
      else
        close_link (end, true);
    }
}

void
World::send_frame (uint64_t end, const std::string &data)
{
  auto found = links_.find (end / 2);

  if (found == links_.end () || found->second.ends[end % 2].is_closed
      || found->second.ends[(end ^ 1) % 2].is_closed)
    return;
  note_start_orders (data);
  found->second.ends[(end ^ 1) % 2].frames.push_back (
      Frame{ now () + link_delay_ms, false, data });
  schedule (now () + link_delay_ms, [this, end] { deliver_frame (end ^ 1); });
}

void
World::deliver_frame (uint64_t end)
{
  auto found = links_.find (end / 2);

  if (found == links_.end ())
    return;
  Link &link = found->second;
  LinkEnd &to = link.ends[end % 2];
  const LinkEnd &from = link.ends[(end ^ 1) % 2];

  if (to.frames.empty ())
    return;
  Millis time
      = std::max (to.frames.front ().arrives_at,
                  get_blocked_until (get_place (from), get_place (to)));

  if (time > now ())
    {
      schedule (time, [this, end] { deliver_frame (end); });
      return;
    }
  Frame frame = std::move (to.frames.front ());

  to.frames.pop_front ();
  if (frame.is_close)
    {
      close_end (end, true);
      return;
    }
  if (!link.is_open
      || (to.node != from.node
          && ((from.node != nullptr && from.node->is_isolated)
              || (to.node != nullptr && to.node->is_isolated))))
    return;
  if (to.node == nullptr)
    handle_entry_frame (frame.data);
  else
    deliver_event (to.node, to.incarnation, RST_NET_FRAME, end, frame.data);
}

void
World::set_isolated (Node &node, bool isolated)
{
  node.is_isolated = isolated;
  if (!isolated)
    return;
  for (uint64_t end : node.link_ends)
    schedule (now () + silence_timeout_ms, [this, &node, end] {
      auto found = links_.find (end / 2);

      if (node.is_isolated && found != links_.end ()
          && found->second.ends[0].node != found->second.ends[1].node)
        close_link (end, false);
    });
}

void
World::reset_links (Node &node, Millis delay_ms)
{
  schedule (now () + delay_ms, [this, &node] {
    std::set<uint64_t> ends = node.link_ends;

    for (uint64_t end : ends)
      if (links_.count (end / 2) > 0)
        close_end (end, true);
  });
}

// Returns whether data arrives at an end: each side sends a heartbeat when it
// has sent nothing else.
bool
World::hears_peer (const Link &link, int side) const
{
  const LinkEnd &peer = link.ends[1 - side];

  return link.is_open && !peer.is_closed && is_alive (peer)
         && (peer.node == nullptr || peer.node->paused_until <= now ())
         && get_blocked_until (get_place (peer), get_place (link.ends[side]))
                == 0;
}

void
World::check_links ()
{
  std::vector<uint64_t> silent_ends;

  schedule (now () + link_check_ms, [this] { check_links (); });
  for (auto &entry : links_)
    for (int side = 0; side < 2; side++)
      {
        LinkEnd &end = entry.second.ends[side];
        bool is_paused
            = end.node != nullptr && end.node->paused_until > now ();

        if (end.is_closed || (side == 1 && !entry.second.is_open))
          continue;
        end.has_unread_data |= hears_peer (entry.second, side)
                               && (is_paused || !end.was_paused);
        // A node that wakes reads what has arrived before it looks for silent
        // links.
        if (!is_paused && end.has_unread_data)
          end.heard_at = now ();
        else if (!is_paused && now () - end.heard_at > end.silence_timeout_ms)
          silent_ends.push_back (2 * entry.first + (uint64_t)side);
        end.has_unread_data &= is_paused;
        end.was_paused = is_paused;
      }
  for (uint64_t end : silent_ends)
    if (links_.count (end / 2) > 0)
      close_end (end, true);
}

} // namespace cell
