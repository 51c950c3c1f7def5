// Compares what a planner has restored with what its predecessors have stored.
#include "world.h"

#include <cstring>

namespace cell
{

static const char segment_prefix[] = "rosemarystile/log/";

struct PackedJobs
{
  int64_t segment;
  std::map<std::string, std::string> facts;
};

static void
add_packed_job (void *userdata, const rst_job_facts *facts)
{
  auto *packed = static_cast<PackedJobs *> (userdata);

  if (facts->segment == packed->segment)
    packed->facts[facts->id] = facts->text;
}

static void
add_job (void *userdata, const rst_job_facts *facts)
{
  auto *all = static_cast<std::map<std::string, std::string> *> (userdata);

  (*all)[facts->id] = facts->text;
}

// STORED: a planner that has read the journal knows of each job what the last
// record in the store was made from.
void
World::observe_planner (Node &node)
{
  const rst_planner *planner = rst_cell_node_get_planner (node.cell_node);
  PackedJobs packed = {};
  rst_planner_stats stats;
  int64_t first;

  if (planner == nullptr)
    return;
  if (rst_planner_get_epoch (planner) != node.planner_epoch)
    {
      node.planner_epoch = rst_planner_get_epoch (planner);
      node.planner_commits = 0;
      node.planner_was_restored = false;
    }
  if (!node.planner_was_restored && rst_planner_is_restored (planner))
    {
      node.planner_was_restored = true;
      compare_restored (planner);
    }
  rst_planner_read_stats (planner, &stats);
  if (stats.commits == node.planner_commits)
    return;
  node.planner_commits = stats.commits;
  rst_planner_get_journal_range (planner, &first, &packed.segment);
  rst_planner_foreach_job (planner, add_packed_job, &packed);
  packed_facts_[{ node.planner_epoch, packed.segment }] = packed.facts;
}

// Returns the epoch of the planner record in the store.
static int64_t
read_stored_epoch (const std::map<std::string, StoreItem> &store)
{
  auto found = store.find (RST_PLANNER_RECORD_KEY);
  rst_planner_record record = {};

  if (found != store.end ())
    rst_planner_record_read (&record, found->second.value.data (),
                             found->second.value.size ());
  return record.epoch;
}

// A planner that was replaced while it read the journal knows less.
//
// A segment may be stored while it is packed, before its facts are noted, so
// they are looked up only now.
void
World::compare_restored (const rst_planner *planner)
{
  std::map<std::string, std::string> restored;

  if (read_stored_epoch (store) != rst_planner_get_epoch (planner))
    return;
  for (auto &segment : stored_segments_)
    for (auto &entry : packed_facts_[segment])
      stored_facts_[entry.first] = entry.second;
  stored_segments_.clear ();
  rst_planner_foreach_job (planner, add_job, &restored);
  for (auto &entry : stored_facts_)
    if (restored.count (entry.first) > 0
        && restored[entry.first] != entry.second)
      report_violation ("STORED " + entry.first + " as " + entry.second
                        + ", restored as " + restored[entry.first]);
}

void
World::note_stored (int64_t epoch, const std::string &key)
{
  if (key.rfind (segment_prefix, 0) == 0)
    stored_segments_.emplace_back (
        epoch, (int64_t)std::stoull (key.substr (strlen (segment_prefix)),
                                     nullptr, 16));
}

} // namespace cell
