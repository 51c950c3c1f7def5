// Model of the store; see world.h.
#include "world.h"

#include <algorithm>
#include <cstring>

namespace cell
{

// Timeouts of the store adapter.
static const Millis get_timeout_ms = 600;
static const Millis range_timeout_ms = 1500;
static const Millis commit_timeout_ms = 700;
static const unsigned page_items = 40;
// Period of an instance's reports to the store, and its variation.
static const Millis report_interval_ms = 1500;
static const Millis report_jitter_ms = 50;

void
World::change_key (const std::string &key, const std::string *value)
{
  revision_++;
  if (value != nullptr)
    store[key] = StoreItem{ *value, revision_ };
  else
    store.erase (key);
  history_.push_back (Change{ revision_, now (), key });
}

void
World::put_key (const std::string &key, const std::string &value)
{
  change_key (key, &value);
}

void
World::remove_key (const std::string &key)
{
  change_key (key, nullptr);
}

void
World::configure (int64_t version, int64_t cpu_limit)
{
  std::string limit = std::to_string (cpu_limit);

  cpu_limit_ = cpu_limit;

  put_key (
      "op/config",
      "{\"version\":" + std::to_string (version)
          + ",\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/q/\","
            "\"service\":\"pool\",\"attempts\":"
          + std::to_string (attempts_)
          + ",\"priority\":1,"
            "\"slack_factor\":3.0,\"target_latency_ms\":500},"
            "{\"name\":\"u\",\"host\":\"h\",\"prefix\":\"/u/\","
            "\"service\":\"pool\",\"attempts\":"
          + std::to_string (attempts_)
          + ",\"priority\":0,"
            "\"slack_factor\":2.0,\"target_latency_ms\":200,\"advice\":"
            "{\"decision_ms\":8.0,\"interval_ms\":0.2,\"validity_ms\":2000}}]"
            ",\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],\"weight\":50"
            ",\"cap\":{\"cpu\":"
          + limit + ",\"mem_mb\":0,\"gpu\":0}}]}");
}

void
World::set_attempts (int attempts)
{
  attempts_ = attempts;
  has_failing_tasks = true;
  configure (2, cpu_limit_);
}

std::string
World::get_rack (const Instance &instance) const
{
  return has_racks ? "r"
                         + std::to_string (
                             std::hash<std::string> () (instance.id) % 3)
                   : "r1";
}

std::string
World::format_entry (const Instance &instance, bool draining) const
{
  std::string rack = get_rack (instance);

  return "{\"service\":\"pool\",\"addr\":\"" + instance.address
         + "\",\"zone\":\"" + instance.zone + "\",\"state\":\""
         + (draining ? "draining" : "ready")
         + "\",\"capacity\":{\"cpu\":" + std::to_string (instance.cpu_milli)
         + ",\"mem_mb\":4000,\"gpu\":0},\"labels\":[\"a\",\"" + rack
         + "\"],\"born\":" + std::to_string (instance.born) + "}";
}

void
World::register_instance (Instance &instance, bool draining)
{
  put_key ("servers/" + instance.id, format_entry (instance, draining));
}

bool
World::can_reach_store (const Node &node) const
{
  return !faults.is_store_down && !node.is_store_unreachable
         && !node.is_isolated
         && get_blocked_until (Place{ &node, nullptr }, Place ()) == 0
         && get_blocked_until (Place (), Place{ &node, nullptr }) == 0;
}

// An instance reports to the store about every report_interval_ms, and its
// entry is removed after three reports are missing; see PROTOCOL.md, "Service
// discovery".
void
World::report_instance (Instance &instance)
{
  const std::string key = "servers/" + instance.id;
  auto entry = store.find (key);
  bool reaches_store
      = instance.is_up && !faults.is_store_down
        && get_blocked_until (Place{ nullptr, &instance }, Place ()) == 0
        && get_blocked_until (Place (), Place{ nullptr, &instance }) == 0;

  schedule (now () + report_interval_ms - report_jitter_ms
                + draw_below (2 * (int)report_jitter_ms),
            [this, &instance] { report_instance (instance); });
  if (reaches_store)
    {
      std::string value = format_entry (instance, instance.is_draining);

      instance.reported_at = now ();
      if (entry == store.end () || entry->second.value != value)
        put_key (key, value);
    }
  else if (entry != store.end ()
           && now () - instance.reported_at >= 3 * report_interval_ms)
    remove_key (key);
}

void
World::answer_store_call (Node &node, rst_store_answer *answer,
                          rst_store_done done, void *data, Millis delay,
                          bool lost)
{
  uint64_t incarnation = node.incarnation;
  uint64_t call = begin_call (node, [done, data] {
    rst_store_answer *no_answer = rst_store_answer_new ();

    no_answer->result = RST_RESULT_UNKNOWN;
    done (no_answer, data);
  });

  if (lost)
    {
      rst_store_answer_free (answer);
      answer = rst_store_answer_new ();
      answer->result = RST_RESULT_UNKNOWN;
    }
  schedule (now () + delay, [=, this, &node] {
    // A cut that has begun meanwhile holds the answer up.
    if (has_partitions && !lost
        && get_blocked_until (Place (), Place{ &node, nullptr }) > 0)
      {
        answer->result = RST_RESULT_UNKNOWN;
        g_ptr_array_set_size (answer->items, 0);
      }
    finish_call (
        node, incarnation, call, [=] { done (answer, data); },
        [=] { rst_store_answer_free (answer); });
  });
}

static void
add_item (rst_store_answer *answer, const std::string &key,
          const StoreItem *item)
{
  rst_store_item *out = g_new0 (rst_store_item, 1);

  out->key = g_strdup (key.c_str ());
  if (item != nullptr)
    {
      out->value = (guint8 *)g_malloc (item->value.size () + 1);
      memcpy (out->value, item->value.c_str (), item->value.size () + 1);
      out->length = item->value.size ();
      out->revision = item->revision;
    }
  else
    out->deleted = true;
  g_ptr_array_add (answer->items, out);
}

void
World::store_get (Node &node, const std::string &key, rst_store_done done,
                  void *data)
{
  rst_store_answer *answer = rst_store_answer_new ();
  auto found = store.find (key);

  answer->revision = revision_;
  answer->result = found == store.end () ? RST_RESULT_ABSENT : RST_RESULT_OK;
  if (found != store.end ())
    add_item (answer, key, &found->second);
  answer_store_call (node, answer, done, data,
                     can_reach_store (node) ? faults.store_delay_ms
                                            : get_timeout_ms,
                     !can_reach_store (node));
}

void
World::store_range (Node &node, const std::string &prefix,
                    const std::string &after, rst_store_done done, void *data)
{
  rst_store_answer *answer = rst_store_answer_new ();

  answer->revision = revision_;
  for (auto &entry : store)
    {
      if (entry.first.compare (0, prefix.size (), prefix) != 0
          || entry.first <= after)
        continue;
      if (answer->items->len == page_items)
        {
          answer->has_more = true;
          break;
        }
      add_item (answer, entry.first, &entry.second);
    }
  answer_store_call (node, answer, done, data,
                     can_reach_store (node) ? faults.store_delay_ms
                                            : range_timeout_ms,
                     !can_reach_store (node));
}

void
World::store_watch (Node &node, const std::string &prefix, int64_t after,
                    Millis wait_ms, rst_store_done done, void *data)
{
  uint64_t incarnation = node.incarnation;
  uint64_t call = begin_call (node, [done, data] {
    rst_store_answer *no_answer = rst_store_answer_new ();

    no_answer->result = RST_RESULT_UNKNOWN;
    done (no_answer, data);
  });

  // Answers once, after at most 50 ms, with the changes so far; the caller
  // then watches again.
  schedule (now () + std::min<Millis> (wait_ms, 50), [=, this, &node] {
    rst_store_answer *answer = rst_store_answer_new ();
    std::set<std::string> changed;

    // A slow store may report a change late.
    answer->revision = faults.watch_lag_ms > 0 ? after : revision_;
    if (!can_reach_store (node))
      answer->result = RST_RESULT_UNKNOWN;
    for (auto change = history_.rbegin ();
         change != history_.rend () && change->revision > after; change++)
      {
        if (change->at > now () - faults.watch_lag_ms)
          continue;
        answer->revision = std::max (answer->revision, change->revision);
        if (change->key.compare (0, prefix.size (), prefix) == 0)
          changed.insert (change->key);
      }
    for (auto &key : changed)
      {
        auto found = store.find (key);

        add_item (answer, key,
                  found == store.end () ? nullptr : &found->second);
      }
    finish_call (
        node, incarnation, call, [=] { done (answer, data); },
        [=] { rst_store_answer_free (answer); });
  });
}

struct Write
{
  std::string key;
  std::string value;
  int64_t expected;
  bool remove;
  bool has_value;
};

static bool
conditions_hold (const std::map<std::string, StoreItem> &store,
                 const std::vector<Write> &writes)
{
  for (auto &write : writes)
    {
      auto found = store.find (write.key);
      int64_t revision = found == store.end () ? 0 : found->second.revision;

      if (write.expected >= 0 && write.expected != revision)
        return false;
    }
  return true;
}

void
World::store_commit (Node &node, const rst_store_write *writes, int count,
                     rst_store_done done, void *data)
{
  std::vector<Write> copy;
  bool reached = can_reach_store (node);
  bool lost = draw_unit () < faults.lose_commit_probability;
  bool late = draw_unit () < faults.late_commit_probability;
  rst_planner_record record = {};

  for (int i = 0; i < count; i++)
    if (strcmp (writes[i].key, RST_PLANNER_RECORD_KEY) == 0)
      rst_planner_record_read (&record, writes[i].value, writes[i].length);
  copy.reserve ((size_t)count);
  for (int i = 0; i < count; i++)
    copy.push_back (
        Write{ writes[i].key,
               std::string ((const char *)writes[i].value, writes[i].length),
               writes[i].expected_revision, writes[i].is_removal,
               writes[i].value != nullptr });
  auto apply = [this, copy, record] (rst_store_answer *answer) {
    bool succeeds = conditions_hold (store, copy);

    if (answer != nullptr)
      answer->result = succeeds ? RST_RESULT_OK : RST_RESULT_CONFLICT;
    for (auto &write : copy)
      {
        if (succeeds && write.remove)
          change_key (write.key, nullptr);
        else if (succeeds && write.has_value)
          {
            change_key (write.key, &write.value);
            note_stored (record.epoch, write.key);
          }
        if (answer != nullptr && !succeeds && write.expected >= 0
            && store.count (write.key) > 0)
          add_item (answer, write.key, &store[write.key]);
      }
    // All writes of a transaction have the same revision, that of the last.
    for (auto &write : copy)
      if (succeeds && write.has_value)
        store[write.key].revision = revision_;
    if (answer != nullptr)
      answer->revision = revision_;
  };
  rst_store_answer *answer = rst_store_answer_new ();

  if (has_refusals && faults.is_store_down)
    {
      answer->result = RST_RESULT_REJECTED;
      answer_store_call (node, answer, done, data, faults.store_delay_ms,
                         false);
      return;
    }
  if (reached && late)
    schedule (now () + 1000 + draw_below (4000), [apply] { apply (nullptr); });
  else if (reached)
    apply (answer);
  else if (has_partitions && !faults.is_store_down && draw_unit () < 0.3)
    schedule (get_blocked_until (Place{ &node, nullptr }, Place ()),
              [apply] { apply (nullptr); });
  answer_store_call (node, answer, done, data,
                     reached && !lost && !late ? faults.store_delay_ms
                                               : commit_timeout_ms,
                     !reached || lost || late);
}

} // namespace cell
