// The store of the world; see world.h.
#include "world.h"

#include <algorithm>
#include <cstring>

namespace cell
{

// When the adapter gives up a call that is not answered.
static const Millis get_timeout = 600;
static const Millis range_timeout = 1500;
static const Millis commit_timeout = 700;

void
World::change (const std::string &key, const std::string *value)
{
  revision_++;
  if (value != nullptr)
    store[key] = Item{ *value, revision_ };
  else
    store.erase (key);
  history_.emplace_back (revision_, key);
}

void
World::put (const std::string &key, const std::string &value)
{
  change (key, &value);
}

void
World::remove (const std::string &key)
{
  change (key, nullptr);
}

void
World::configure (int64_t version, int64_t cpu_limit)
{
  std::string limit = std::to_string (cpu_limit);

  cpu_limit_ = cpu_limit;

  put ("op/config",
       "{\"version\":" + std::to_string (version)
           + ",\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/q/\","
             "\"service\":\"pool\",\"attempts\":3,\"priority\":1,"
             "\"slack_factor\":3.0,\"target_latency_ms\":500},"
             "{\"name\":\"u\",\"host\":\"h\",\"prefix\":\"/u/\","
             "\"service\":\"pool\",\"attempts\":3,\"priority\":0,"
             "\"slack_factor\":2.0,\"target_latency_ms\":200,\"advice\":"
             "{\"decision_ms\":8.0,\"interval_ms\":0.2,\"validity_ms\":2000}}]"
             ",\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],\"weight\":50"
             ",\"cap\":{\"cpu\":"
           + limit + ",\"mem_mb\":0,\"gpu\":0}}]}");
}

void
World::register_worker (Worker &worker, bool draining)
{
  put ("servers/" + worker.id,
       "{\"service\":\"pool\",\"addr\":\"" + worker.address + "\",\"zone\":\""
           + worker.zone + "\",\"state\":\""
           + (draining ? "draining" : "ready")
           + "\",\"capacity\":{\"cpu\":4000,\"mem_mb\":4000,\"gpu\":0},"
             "\"labels\":[\"a\",\"r1\"],\"born\":"
           + std::to_string (worker.incarnation) + "}");
}

bool
World::store_reached (const Node &node) const
{
  return !faults.store_down && !node.store_cut && !node.cut;
}

uint64_t
World::begin_call (Node &node, std::function<void ()> lost)
{
  uint64_t call = next_call_++;

  node.calls[call] = std::move (lost);
  return call;
}

bool
World::end_call (Node &node, uint64_t life, uint64_t call)
{
  return node.life == life && node.calls.erase (call) > 0;
}

void
World::store_answer (Node &node, rst_store_answer *answer, rst_store_done done,
                     void *data, Millis delay, bool lost)
{
  uint64_t life = node.life;
  uint64_t call = begin_call (node, [done, data] {
    rst_store_answer *none = rst_store_answer_new ();

    none->result = RST_RESULT_UNKNOWN;
    done (none, data);
  });

  if (lost)
    {
      rst_store_answer_free (answer);
      answer = rst_store_answer_new ();
      answer->result = RST_RESULT_UNKNOWN;
    }
  at (now () + delay, [this, &node, life, call, answer, done, data] {
    if (!end_call (node, life, call))
      {
        rst_store_answer_free (answer);
        return;
      }
    done (answer, data);
    tick (node);
  });
}

static void
add_item (rst_store_answer *answer, const std::string &key, const Item *item)
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
  store_answer (node, answer, done, data,
                store_reached (node) ? faults.store_delay : get_timeout,
                !store_reached (node));
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
      if (answer->items->len == 40)
        {
          answer->has_more = true;
          break;
        }
      add_item (answer, entry.first, &entry.second);
    }
  store_answer (node, answer, done, data,
                store_reached (node) ? faults.store_delay : range_timeout,
                !store_reached (node));
}

void
World::store_watch (Node &node, const std::string &prefix, int64_t after,
                    Millis wait, rst_store_done done, void *data)
{
  uint64_t life = node.life;
  uint64_t call = begin_call (node, [done, data] {
    rst_store_answer *none = rst_store_answer_new ();

    none->result = RST_RESULT_UNKNOWN;
    done (none, data);
  });

  // One look when the wait is half over stands for a watch.
  at (now () + std::min<Millis> (wait, 50), [=, this, &node] {
    rst_store_answer *answer = rst_store_answer_new ();
    std::set<std::string> changed;

    if (!end_call (node, life, call))
      {
        rst_store_answer_free (answer);
        return;
      }
    answer->revision = revision_;
    if (!store_reached (node))
      answer->result = RST_RESULT_UNKNOWN;
    for (auto &entry : history_)
      if (entry.first > after
          && entry.second.compare (0, prefix.size (), prefix) == 0)
        changed.insert (entry.second);
    for (auto &key : changed)
      {
        auto found = store.find (key);

        add_item (answer, key,
                  found == store.end () ? nullptr : &found->second);
      }
    done (answer, data);
    tick (node);
  });
}

struct Write
{
  std::string key;
  std::string value;
  int64_t expected;
  bool remove;
  bool write;
};

static bool
conditions_hold (const std::map<std::string, Item> &store,
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
  bool reached = store_reached (node);
  bool lost = chance () < faults.lose_commit;
  bool late = chance () < faults.late_commit;

  for (int i = 0; i < count; i++)
    copy.push_back (
        Write{ writes[i].key,
               std::string ((const char *)writes[i].value, writes[i].length),
               writes[i].expected_revision, writes[i].is_removal,
               writes[i].value != nullptr });
  auto apply = [this, copy] (rst_store_answer *answer) {
    bool hold = conditions_hold (store, copy);

    if (answer != nullptr)
      answer->result = hold ? RST_RESULT_OK : RST_RESULT_CONFLICT;
    for (auto &write : copy)
      {
        if (hold && write.remove)
          change (write.key, nullptr);
        else if (hold && write.write)
          change (write.key, &write.value);
        if (answer != nullptr && !hold && write.expected >= 0
            && store.count (write.key) > 0)
          add_item (answer, write.key, &store[write.key]);
      }
    // All writes of one change share the revision of the last.
    for (auto &write : copy)
      if (hold && write.write)
        store[write.key].revision = revision_;
    if (answer != nullptr)
      answer->revision = revision_;
  };
  rst_store_answer *answer = rst_store_answer_new ();

  if (reached && late)
    at (now () + 1000 + below (4000), [apply] { apply (nullptr); });
  else if (reached)
    apply (answer);
  store_answer (node, answer, done, data,
                reached && !lost && !late ? faults.store_delay
                                          : commit_timeout,
                !reached || lost || late);
}

} // namespace cell
