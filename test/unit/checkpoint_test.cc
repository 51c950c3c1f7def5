// Checkpoints on their way from an instance to the next start of the task.
#include <gtest/gtest.h>

#include "cell_harness.h"

extern "C"
{
#include "adapter_private.h"
}

using harness::Planner;

namespace
{

const std::string job = "00000000000000c1";
const std::string task = job + ".0.0.0";

std::string
make_checkpoint (size_t length, char last = 'z')
{
  return std::string (length - 1, 'c') + last;
}

// What an instance lists, read as the agent reads it.
class Listed
{
public:
  Listed (const std::string &running, const std::string &finished)
  {
    std::string text = "{\"clock_ms\":9,\"born\":1,\"running\":[" + running
                       + "],\"finished\":[" + finished + "]}";

    EXPECT_TRUE (rst_platform_parse_runs (text.c_str (), answer));
  }
  ~Listed () { rst_instance_answer_free (answer); }
  Listed (const Listed &) = delete;
  Listed &operator= (const Listed &) = delete;

  std::vector<rst_run>
  runs () const
  {
    auto *first = (rst_run *)(void *)answer->runs->data;

    return std::vector<rst_run> (first, first + answer->runs->len);
  }

  rst_instance_answer *answer = rst_instance_answer_new ();
};

std::string
format_running (const std::string &name, int attempt,
                const std::string &checkpoint)
{
  return "[\"" + name + "\"," + std::to_string (attempt) + ",\"" + checkpoint
         + "\",10,0]";
}

std::string
format_failed (int number, const std::string &name, int attempt,
               const std::string &checkpoint = "")
{
  return "[" + std::to_string (number) + ",\"" + name + "\","
         + std::to_string (attempt) + ",\"failed\",\"" + checkpoint + "\"]";
}

rst_jobdesc *
make_saving_job (int tasks, bool gang)
{
  rst_jobdesc *desc = Planner::make_job (tasks, 10, gang);

  desc->steps[0].has_checkpoints = true;
  return desc;
}

// Starts a job of one task and has its run save @saved and then fail.  Returns
// the checkpoint of the next start.
std::string
get_checkpoint_of_next_start (Planner &planner,
                              const std::vector<std::string> &saved)
{
  planner.start_serving (2);
  planner.send_call (1, RST_OPERATION_SUBMIT, job, make_saving_job (1, false));
  planner.settle ();
  std::string id = planner.sent_of_kind (RST_MSG_START).at (0).id;

  planner.answer_order (1, RST_MSG_STARTED, id, task, 1, RST_RESULT_OK);
  for (const std::string &checkpoint : saved)
    planner.report (1, id,
                    Listed (format_running (task, 1, checkpoint), "").runs ());
  planner.sent.clear ();
  planner.report (1, id, Listed ("", format_failed (1, task, 1)).runs ());
  planner.settle ();
  return planner.sent_of_kind (RST_MSG_START).at (0).checkpoint;
}

} // namespace

// A checkpoint of more than 63 characters was cut, and the task started again
// from a text that no instance had given.
TEST (Checkpoint, OfMoreThan63CharactersIsNotCut)
{
  for (size_t length : { 1, 16, 63, 64, 65, 80, 200, 500, 4000, 60000, 65536 })
    {
      Planner planner;
      std::string checkpoint = make_checkpoint (length);

      EXPECT_TRUE (get_checkpoint_of_next_start (planner, { checkpoint })
                   == checkpoint)
          << "length " << length;
    }
}

TEST (Checkpoint, AboveTheLimitLeavesTheOneBeforeIt)
{
  Planner planner;
  Planner other;
  std::string too_long = make_checkpoint (RST_CHECKPOINT_BYTES_MAX + 1);

  EXPECT_EQ (get_checkpoint_of_next_start (planner, { "before", too_long }),
             "before");
  EXPECT_EQ (get_checkpoint_of_next_start (other, { too_long }), "");
  EXPECT_EQ (Listed (format_running (task, 1, too_long), "")
                 .answer->checkpoints_left_out,
             1u);
}

// Members of a gang that can't be sent in one message still carry the same
// checkpoint, and no message comes near the largest frame.
TEST (Checkpoint, IsTheSameForAllMembersOfAGang)
{
  const int members = 60;
  Planner planner;
  std::string checkpoint = make_checkpoint (60000);

  planner.start_serving (1);
  planner.send_call (1, RST_OPERATION_SUBMIT, job,
                     make_saving_job (members, true));
  planner.settle ();
  ASSERT_EQ (planner.sent_of_kind (RST_MSG_START).size (), (size_t)members);
  std::string running;

  for (int i = 0; i < members; i++)
    {
      std::string name = job + ".0.0." + std::to_string (i);

      planner.answer_order (1, RST_MSG_STARTED, "i-0", name, 1, RST_RESULT_OK);
      running += (i > 0 ? "," : "")
                 + format_running (name, 1, i == 7 ? checkpoint : "");
    }
  planner.report (1, "i-0", Listed (running, "").runs ());
  planner.sent.clear ();
  planner.report (1, "i-0", {});
  for (const harness::Sent &stop : planner.sent_of_kind (RST_MSG_STOP))
    planner.answer_order (1, RST_MSG_STOPPED, "i-0", stop.task, 1,
                          RST_RESULT_OK);
  planner.report (1, "i-0", {});
  planner.settle ();
  std::vector<harness::Sent> starts = planner.sent_of_kind (RST_MSG_START);

  ASSERT_EQ (starts.size (), (size_t)members);
  for (const harness::Sent &start : starts)
    EXPECT_TRUE (start.checkpoint == checkpoint) << start.task;
  EXPECT_LT (planner.longest_message, 2u * 1024 * 1024);
}

// The planner's memory is bounded whatever tasks save.
TEST (Checkpoint, IsNotKeptWhenAllOfThemTakeTooMuchMemory)
{
  const int tasks = 300;
  Planner planner;
  std::string checkpoint = make_checkpoint (65536);
  std::string running;
  rst_planner_stats stats = {};

  planner.start_serving (1);
  planner.send_call (1, RST_OPERATION_SUBMIT, job,
                     make_saving_job (tasks, false));
  planner.settle ();
  ASSERT_EQ (planner.sent_of_kind (RST_MSG_START).size (), (size_t)tasks);
  for (int i = 0; i < tasks; i++)
    running += (i > 0 ? "," : "")
               + format_running (job + ".0.0." + std::to_string (i), 1,
                                 checkpoint);
  planner.report (1, "i-0", Listed (running, "").runs ());
  rst_planner_read_stats (planner.planner, &stats);
  EXPECT_EQ (stats.checkpoints_dropped, (uint64_t)(tasks - 256));
  planner.sent.clear ();
  planner.report (1, "i-0", {});
  planner.settle ();
  std::vector<harness::Sent> starts = planner.sent_of_kind (RST_MSG_START);

  ASSERT_EQ (starts.size (), (size_t)tasks);
  for (const harness::Sent &start : starts)
    {
      int index = std::stoi (start.task.substr (start.task.rfind ('.') + 1));

      EXPECT_TRUE (start.checkpoint == (index < 256 ? checkpoint : ""))
          << start.task;
    }
}
