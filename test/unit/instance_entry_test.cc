// Entries of instances and of operators as another writer may leave them in
// the store: which of them reach the planner, and what becomes of the others.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "cell_harness.h"
#include "log_recorder.h"

extern "C"
{
#include "daemon/store_input.h"
#include "transport/transport.h"
}

using harness::LogRecorder;
using harness::Planner;
using harness::Sent;

static const char *const job_a = "00000000000000aa";
static const char *const job_b = "00000000000000bb";
static const std::string task_a0 = "00000000000000aa.0.0.0";

// Members of an entry, each with its JSON text.
using Members = std::map<std::string, std::string>;

// Returns a usable entry with some members replaced; "" leaves one out.
static std::string
format_entry (const Members &changes = {})
{
  Members members
      = { { "service", "\"pool\"" },
          { "addr", "\"10.0.0.1:80\"" },
          { "zone", "\"a\"" },
          { "version", "\"v1\"" },
          { "slots", "8" },
          { "state", "\"ready\"" },
          { "cold_left_ms", "0" },
          { "capacity", "{\"cpu\":4000,\"mem_mb\":4000,\"gpu\":0}" },
          { "labels", "[\"a\",\"r1\"]" },
          { "born", "1" },
          { "seq", "9" } };
  std::string text = "{";

  for (const auto &[name, value] : changes)
    members[name] = value;
  for (const auto &[name, value] : members)
    if (!value.empty ())
      text += (text.size () > 1 ? ",\"" : "\"") + name + "\":" + value;
  return text + "}";
}

// Delivers the value of a key as the watch does.
static void
put_entry (Planner &cell, const std::string &id, std::string value)
{
  std::string key = "servers/" + id;
  rst_store_item item = {};

  item.key = key.data ();
  item.value = reinterpret_cast<guint8 *> (value.data ());
  item.length = value.size ();
  rst_store_input_apply_instance_item (cell.planner, &item);
}

static void
remove_entry (Planner &cell, const std::string &id)
{
  std::string key = "servers/" + id;
  rst_store_item item = {};

  item.key = key.data ();
  item.deleted = true;
  rst_store_input_apply_instance_item (cell.planner, &item);
}

// Starts a planner with the instance "good" and a job that runs on it.
static void
start_with_good_instance (Planner &cell)
{
  cell.start_serving (0);
  put_entry (cell, "good", format_entry ());
  cell.report (1, "good", {});
  cell.settle ();
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  cell.answer_order (1, RST_MSG_STARTED, "good", task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
}

static rst_run
make_running (const std::string &task, int progress_percent)
{
  rst_run run = Planner::make_running_run (task, 1);

  run.progress_percent = progress_percent;
  return run;
}

// Whether an agent is told to hold an instance that has this entry.
static bool
is_used (const std::string &value)
{
  Planner cell;

  cell.start_serving (0);
  put_entry (cell, "odd", value);
  cell.settle ();
  return cell.held_addresses.count ("odd") > 0;
}

TEST (InstanceEntry, UsesEntriesWithMembersThatItDoesNotNeed)
{
  EXPECT_TRUE (is_used (format_entry ()));
  EXPECT_TRUE (is_used (" " + format_entry () + "\r\n"));
  EXPECT_TRUE (is_used (format_entry ({ { "more", "[[1e300,{}],null]" } })));
  EXPECT_TRUE (is_used (
      format_entry ({ { "born", "" }, { "labels", "" }, { "seq", "" } })));
  EXPECT_TRUE (
      is_used (format_entry ({ { "capacity", "{\"cpu\":1,\"mem_mb\":1}" } })));
  EXPECT_TRUE (is_used (format_entry ({ { "state", "\"draining\"" } })));
}

TEST (InstanceEntry, UsesNoTextThatIsNotOneJsonObject)
{
  const std::string deep = std::string (5000, '[') + std::string (5000, ']');

  for (const std::string &value :
       { std::string (), std::string ("null"), std::string ("7"),
         std::string ("[]"), std::string ("{"), std::string ("\xff\xfe"),
         format_entry ().substr (0, 40), format_entry () + "}",
         format_entry () + "{}", format_entry () + std::string (1, '\0') + "x",
         "/* note */" + format_entry (),
         format_entry ({ { "more", "\"\xff\xfe\"" } }),
         format_entry ({ { "more", deep } }) })
    EXPECT_FALSE (is_used (value)) << value.substr (0, 300);
}

TEST (InstanceEntry, UsesNoEntryWithoutThePlaceOfTheInstance)
{
  const std::string too_long = "\"" + std::string (64, 's') + "\"";

  for (const char *member : { "service", "zone", "state" })
    for (const std::string &value :
         { std::string (), std::string ("7"), std::string ("null"),
           std::string ("{}"), std::string ("\"\""), too_long,
           std::string ("\"a\\u0000\"") })
      EXPECT_FALSE (is_used (format_entry ({ { member, value } })))
          << member << " " << value;
  EXPECT_FALSE (is_used (format_entry ({ { "state", "\"resting\"" } })));
}

TEST (InstanceEntry, CallsNoAddressButAnIpNumberWithAPort)
{
  for (const std::string &address :
       { std::string (),
         std::string ("7"),
         std::string ("[]"),
         std::string ("\"\""),
         std::string ("\"10.0.0.1\""),
         std::string ("\"10.0.0.1:\""),
         std::string ("\"10.0.0.1:0\""),
         std::string ("\"10.0.0.1:-1\""),
         std::string ("\"10.0.0.1:65536\""),
         std::string ("\"10.0.0.1:99999999999999999999\""),
         std::string ("\"10.0.0.1:80/-/\""),
         std::string ("\"10.0.0.1:80\\r\\nX: y\""),
         std::string ("\"10.0.0.1:80\\u0000x\""),
         std::string ("\" 10.0.0.1:80\""),
         std::string ("\"10.0.0.1: 80\""),
         std::string ("\"user@10.0.0.1:80\""),
         std::string ("\"http://10.0.0.1:80\""),
         std::string ("\"host.example:80\""),
         std::string ("\"10.0.0.256:80\""),
         std::string ("\"[::1]:80\""),
         "\"" + std::string (300, '1') + ":80\"" })
    EXPECT_FALSE (is_used (format_entry ({ { "addr", address } }))) << address;
}

TEST (InstanceEntry, UsesNoCapacityThatIsOutOfRange)
{
  const std::string large (400, '9');

  for (const std::string &capacity :
       { std::string (), std::string ("4000"), std::string ("{}"),
         std::string ("{\"mem_mb\":4000}"), std::string ("{\"cpu\":0}") })
    EXPECT_FALSE (is_used (format_entry ({ { "capacity", capacity } })))
        << capacity;
  for (const char *member : { "cpu", "mem_mb", "gpu" })
    for (const std::string &value :
         { std::string ("-1"), std::string ("0.5"), std::string ("\"8\""),
           std::string ("true"), std::string ("null"), std::string ("1e300"),
           std::string ("1e9999"), std::string ("2147483648"),
           std::string ("9223372036854775807"),
           std::string ("9223372036854775808"),
           std::string ("-9223372036854775808"), large, "-" + large })
      {
        Members capacity = { { "cpu", "4000" }, { "mem_mb", "4000" } };
        std::string text;

        capacity[member] = value;
        for (const auto &[name, number] : capacity)
          text += (text.empty () ? "{\"" : ",\"") + name + "\":" + number;
        EXPECT_FALSE (is_used (format_entry ({ { "capacity", text + "}" } })))
            << text;
      }
}

TEST (InstanceEntry, UsesNoLabelThatItCanNotStore)
{
  std::string many = "[\"a\"";

  for (int i = 0; i < 2000; i++)
    many += ",\"r1\"";
  for (const std::string &labels :
       { std::string ("\"a\""), std::string ("{}"), std::string ("null"),
         std::string ("[\"a\",7]"), std::string ("[null]"),
         std::string ("[[\"a\"]]"), std::string ("[\"\"]"),
         std::string ("[\"a,b\"]"), std::string ("[\"a\\u0000\"]"),
         "[\"a\",\"" + std::string (64, 'r') + "\"]", many + "]" })
    EXPECT_FALSE (is_used (format_entry ({ { "labels", labels } })))
        << labels.substr (0, 300);
}

TEST (InstanceEntry, UsesNoStartTimeThatIsOutOfRange)
{
  for (const char *born : { "-1", "0", "1.5", "\"7\"", "1e300", "null",
                            "9223372036854775807", "99999999999999999999" })
    EXPECT_FALSE (is_used (format_entry ({ { "born", born } }))) << born;
}

TEST (InstanceEntry, HoldsNoInstanceWhoseIdCanNotBeUsed)
{
  for (const std::string &id :
       { std::string (), std::string (64, 'a'), std::string (190, 'a'),
         std::string ("a b"), std::string ("a\r\nX: y"), std::string ("a\x7f"),
         std::string ("\xff\xfe") })
    {
      Planner cell;

      cell.start_serving (0);
      put_entry (cell, id, format_entry ());
      cell.settle ();
      EXPECT_TRUE (cell.held_addresses.empty ()) << id;
    }
}

TEST (InstanceEntry, IdThatIsTooLongReplacesNoOtherInstance)
{
  Planner cell;
  std::string id (63, 'a');

  cell.start_serving (0);
  put_entry (cell, id, format_entry ());
  cell.settle ();
  ASSERT_EQ (cell.held_addresses[id], "10.0.0.1:80");
  put_entry (cell, id + "b", format_entry ({ { "addr", "\"10.0.0.2:80\"" } }));
  cell.settle ();
  EXPECT_EQ (cell.held_addresses[id], "10.0.0.1:80");
}

TEST (InstanceEntry, NothingStartsInMemoryThatOverflows)
{
  Planner cell;

  start_with_good_instance (cell);
  put_entry (cell, "good",
             format_entry ({ { "capacity", "{\"cpu\":4000,\"mem_mb\":"
                                           "-9223372036854775808}" } }));
  cell.send_call (8, RST_OPERATION_SUBMIT, job_b, Planner::make_job (1, 1000));
  cell.settle ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
}

TEST (InstanceEntry, StartsNothingWhileTheEntryOfAnInstanceCanNotBeUsed)
{
  Planner cell;

  start_with_good_instance (cell);
  put_entry (cell, "good", "{\"service\":");
  cell.send_call (8, RST_OPERATION_SUBMIT, job_b, Planner::make_job (1, 1000));
  cell.settle ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());

  // Its run is neither lost nor started again, however long that lasts.
  for (int i = 0; i < 100; i++)
    {
      cell.report (1, "good", { make_running (task_a0, i) });
      put_entry (cell, "good", "{\"service\":");
      cell.advance_time (1000);
    }
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  cell.send_call (9, RST_OPERATION_READ, job_a);
  EXPECT_EQ (cell.reply_to (9)->reply.state, RST_JOB_RUNNING);

  put_entry (cell, "good", format_entry ());
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START)[0].task,
             "00000000000000bb.0.0.0");
}

// A successor that finds only the odd entry knows the instance's address from
// the journal.
TEST (InstanceEntry, SuccessorTakesOverRunsOfAnInstanceWithoutAUsableEntry)
{
  Planner predecessor;
  Planner successor (2);

  start_with_good_instance (predecessor);
  predecessor.settle ();
  successor.restore (predecessor);
  successor.configure ();
  successor.add_agent (1);
  put_entry (successor, "good", "{\"service\":");
  rst_planner_finish_restore (successor.planner);
  successor.settle ();
  ASSERT_EQ (successor.held_addresses["good"], "10.0.0.1:80");
  for (int i = 0; i < 100; i++)
    {
      successor.report (1, "good", { make_running (task_a0, i) });
      successor.advance_time (1000);
    }
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_STOP).empty ());
  successor.send_call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (successor.reply_to (8)->reply.state, RST_JOB_RUNNING);
}

TEST (InstanceEntry, LogsAnEntryThatStaysUnusableOnce)
{
  Planner cell;
  LogRecorder log;

  cell.start_serving (0);
  for (int i = 0; i < 50; i++)
    {
      put_entry (cell, "odd",
                 format_entry ({ { "addr", "\"10.0.0.1:65536\"" } }));
      cell.advance_time (100);
    }
  EXPECT_EQ (LogRecorder::count ("can't be used"), 1);
  EXPECT_EQ (LogRecorder::count ("addr:"), 1);
  put_entry (cell, "odd", format_entry ({ { "capacity", "{}" } }));
  EXPECT_EQ (LogRecorder::count ("capacity.cpu:"), 1);
  EXPECT_EQ (LogRecorder::count ("can't be used"), 2);
  put_entry (cell, "odd", format_entry ());
  EXPECT_EQ (LogRecorder::count ("can be used again"), 1);
  put_entry (cell, "odd", "");
  remove_entry (cell, "odd");
  put_entry (cell, "odd", "");
  EXPECT_EQ (LogRecorder::count ("can't be used"), 4);
}

// Replaces, inserts or deletes a few bytes or whole values of an entry.
static std::string
mutate (std::string text, std::mt19937 &random)
{
  static const std::vector<std::string> tokens = { "null",
                                                   "-1",
                                                   "1e300",
                                                   "9223372036854775807",
                                                   "-9223372036854775808",
                                                   "\"\"",
                                                   "[[[",
                                                   "}",
                                                   ":65536",
                                                   "\\u0000",
                                                   "\xff",
                                                   "{",
                                                   ",",
                                                   "\"addr\":",
                                                   "0" };
  int changes = 1 + (int)(random () % 4);

  for (int i = 0; i < changes && !text.empty (); i++)
    {
      size_t at = random () % text.size ();
      const std::string &token = tokens[random () % tokens.size ()];

      switch (random () % 4)
        {
        case 0:
          text[at] = (char)random ();
          break;
        case 1:
          text.insert (at, token);
          break;
        case 2:
          text.erase (at, 1 + random () % 12);
          break;
        default:
          text.replace (at, 1 + random () % 12, token);
          break;
        }
    }
  return text;
}

// Whatever other entries say, agents are only sent to addresses that can be
// called, and the good instance runs what it has room for.
TEST (InstanceEntry, MutatedEntriesDisturbNoOtherInstance)
{
  std::mt19937 random (20281);
  Planner cell;
  LogRecorder log;
  struct sockaddr_in address;

  start_with_good_instance (cell);
  for (int i = 0; i < 4000; i++)
    {
      std::string id = "odd-" + std::to_string (random () % 8);

      put_entry (cell, id, mutate (format_entry (), random));
      if (cell.held_addresses.count (id) == 0)
        continue;
      const std::string &held = cell.held_addresses[id];

      ASSERT_TRUE (rst_transport_parse_address (held.c_str (), &address)
                   && address.sin_port != 0)
          << "step " << i << ": " << held;
      cell.report (1, id, {});
      cell.report (1, "good", { make_running (task_a0, i % 100) });
      cell.settle ();
    }
  for (int i = 0; i < 8; i++)
    remove_entry (cell, "odd-" + std::to_string (i));
  cell.settle ();
  cell.sent.clear ();
  cell.send_call (8, RST_OPERATION_SUBMIT, job_b, Planner::make_job (1, 1000));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START)[0].id, "good");
}

// Delivers a key of the operators as the watch does.
static void
put_operator_key (Planner &cell, std::string key, std::string value)
{
  rst_store_item item = {};

  item.key = key.data ();
  item.value = reinterpret_cast<guint8 *> (value.data ());
  item.length = value.size ();
  rst_store_input_apply_operator_item (cell.planner, &item);
}

static void
put_config (Planner &cell, const std::string &value)
{
  put_operator_key (cell, "op/config", value);
}

// Only the key counts.
TEST (OperatorEntry, EvacuationOfAnUnknownZoneAffectsNoOtherZone)
{
  Planner cell;
  LogRecorder log;

  cell.start_serving (1);
  for (const std::string &zone :
       { std::string (), std::string ("A"), std::string ("a "),
         std::string ("a/b"), std::string ("\xff\n"), std::string (150, 'a') })
    put_operator_key (cell, "op/evacuate/" + zone, "{\"more\":[[[");
  put_operator_key (cell, "op/other", "{");
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  put_operator_key (cell, "op/evacuate/a", "");
  cell.send_call (8, RST_OPERATION_SUBMIT, job_b, Planner::make_job (1, 1000));
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
}

TEST (OperatorEntry, ConfigurationThatCanNotBeUsedLeavesThePreviousOneInForce)
{
  const std::string good
      = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"prefix\":"
        "\"/q/\",\"service\":\"pool\",\"attempts\":3}],\"tenants\":[{\"name\":"
        "\"c\",\"api_keys\":[\"k\"]}]}";
  Planner cell;
  LogRecorder log;

  cell.start_serving (1);
  put_config (cell, good);
  for (const std::string &odd :
       { std::string (), std::string ("{\"version\":9}"), good + "x",
         good + std::string (1, '\0'),
         std::string ("{\"version\":9223372036854775807,\"routes\":[]}"),
         std::string ("{\"version\":9,\"routes\":[{\"name\":7}]}") })
    put_config (cell, odd);
  EXPECT_EQ (LogRecorder::count ("Configuration can't be read"), 6);
  EXPECT_EQ (LogRecorder::count ("routes[0].name:"), 1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  put_config (cell, "{\"version\":8,\"routes\":[]}");
  cell.send_call (8, RST_OPERATION_SUBMIT, job_b, Planner::make_job (1, 1000));
  cell.settle ();
  ASSERT_NE (cell.reply_to (8), nullptr);
  EXPECT_EQ (cell.reply_to (8)->reply.outcome, RST_OUTCOME_NO_QUEUE);
}
