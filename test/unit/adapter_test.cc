#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C"
{
#include "adapter.h"
#include "adapter_private.h"
}

TEST (Adapter, FormatsTransactionWithConditionsWritesAndRemovals)
{
  rst_store_write writes[3] = {};

  writes[0].key = "a";
  writes[0].value = "x";
  writes[0].length = 1;
  writes[0].expected_revision = 7;
  writes[1].key = "b";
  writes[1].value = "y";
  writes[1].length = 1;
  writes[1].expected_revision = -1;
  writes[2].key = "c";
  writes[2].expected_revision = -1;
  writes[2].is_removal = true;
  char *body = rst_platform_format_transaction (writes, 3);

  EXPECT_STREQ (body, "{\"expected_rev\":[{\"key\":\"a\",\"revision\":7}],"
                      "\"writes\":[{\"key\":\"a\",\"value\":\"eA==\"},"
                      "{\"key\":\"b\",\"value\":\"eQ==\"}],"
                      "\"remove\":[\"c\"]}");
  free (body);
}

TEST (Adapter, OmitsEmptyMembersOfStart)
{
  rst_instance_call call = {};

  call.fencing_token = 3;
  call.task = "t";
  call.attempt = 2;
  call.spec = "s";
  call.checkpoint = "";
  call.ticket = "k";
  call.deadline_ms = 90;
  char *body = rst_platform_format_order (&call);

  EXPECT_STREQ (body, "{\"fencing_token\":3,\"deadline_ms\":90,\"task\":\"t\","
                      "\"attempt\":2,\"spec\":\"s\",\"ticket\":\"k\"}");
  free (body);
}

TEST (Adapter, FormatsPaceOfZeroPercent)
{
  rst_instance_call call = {};

  call.fencing_token = 3;
  call.task = "t";
  call.attempt = 2;
  call.has_pace = true;
  char *body = rst_platform_format_order (&call);

  EXPECT_STREQ (body, "{\"fencing_token\":3,\"task\":\"t\",\"attempt\":2,"
                      "\"percent\":0}");
  free (body);
}

TEST (Adapter, ParsesRuns)
{
  rst_instance_answer *answer = rst_instance_answer_new ();

  ASSERT_TRUE (rst_platform_parse_runs (
      "{\"clock_ms\":9,\"born\":4,\"running\":[[\"t1\",2,\"c\",41,7]],"
      "\"finished\":[[58,\"t2\",1,\"failed\",\"d\"],[59,\"t3\",1,\"alone\","
      "\"\"]]}",
      answer));
  ASSERT_EQ (answer->runs->len, 3u);
  const rst_run &first = g_array_index (answer->runs, rst_run, 0);
  const rst_run &second = g_array_index (answer->runs, rst_run, 1);
  const rst_run &third = g_array_index (answer->runs, rst_run, 2);

  EXPECT_EQ (answer->clock_ms, 9);
  EXPECT_EQ (answer->incarnation, 4);
  EXPECT_STREQ (first.task, "t1");
  EXPECT_EQ (first.end_number, 0);
  EXPECT_EQ (first.progress_percent, 41);
  EXPECT_EQ (first.usage, 7);
  EXPECT_EQ (second.end_number, 58);
  EXPECT_EQ (second.end_reason, RST_END_FAILED);
  EXPECT_STREQ (second.checkpoint, "d");
  EXPECT_EQ (third.end_reason, RST_END_GANG_INCOMPLETE);
  rst_instance_answer_free (answer);
}

TEST (Adapter, ParsesRejectionReasons)
{
  EXPECT_EQ (rst_platform_parse_rejection ("{\"reason\":\"fence\"}"),
             RST_RESULT_FENCED);
  EXPECT_EQ (rst_platform_parse_rejection ("{\"reason\":\"ticket\"}"),
             RST_RESULT_NO_TICKET);
  EXPECT_EQ (rst_platform_parse_rejection ("{\"reason\":\"new\"}"),
             RST_RESULT_UNKNOWN);
  EXPECT_EQ (rst_platform_parse_rejection ("{"), RST_RESULT_UNKNOWN);
}

TEST (Adapter, ParsesConfiguration)
{
  char *problem = nullptr;
  const char *rest = nullptr;
  const std::string text
      = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
        "\"prefix\":\"/a/\",\"service\":\"s\",\"attempts\":4,"
        "\"slack_factor\":2.2,\"advice\":{\"decision_ms\":560.0,"
        "\"interval_ms\":7.9,\"validity_ms\":2000}},{\"name\":\"longer\","
        "\"host\":\"h.example\",\"prefix\":\"/a/b/\",\"service\":\"s\"}],"
        "\"tenants\":[{\"name\":\"c\",\"api_keys\":[\"k\",5],\"weight\":3,"
        "\"cap\":{\"cpu\":10,\"mem_mb\":20,\"gpu\":0}}],\"later\":1}";
  rst_cellconfig *config
      = rst_adapter_parse_config (text.data (), text.size (), &problem);

  EXPECT_EQ (problem, nullptr);
  ASSERT_NE (config, nullptr);
  const rst_queue *queue
      = rst_cellconfig_route (config, "h.example:80", "/a/x", &rest);

  ASSERT_NE (queue, nullptr);
  EXPECT_STREQ (queue->name, "r");
  EXPECT_STREQ (rest, "x");
  EXPECT_EQ (queue->slack_permille, 2200);
  EXPECT_EQ (queue->advice_per_instance_us, 7900);
  EXPECT_STREQ (
      rst_cellconfig_route (config, "h.example", "/a/b/x", &rest)->name,
      "longer");
  EXPECT_EQ (rst_cellconfig_route (config, "other", "/a/x", &rest), nullptr);
  EXPECT_EQ (g_hash_table_size (config->keys), 1u);
  rst_cellconfig_destroy (config);
}

TEST (Adapter, NamesTheInvalidFieldOfAConfiguration)
{
  static const struct
  {
    const char *text;
    const char *field;
  } invalid[] = {
    { "", "configuration:" },
    { "[]", "configuration:" },
    { "{\"routes\":[]} x", "configuration:" },
    { "{\"version\":7}", "routes:" },
    { "{\"version\":7,\"routes\":{}}", "routes:" },
    { "{\"version\":1e30,\"routes\":[]}", "version:" },
    { "{\"version\":99999999999999999999,\"routes\":[]}", "version:" },
    { "{\"version\":-1,\"routes\":[]}", "version:" },
    { "{\"routes\":[7]}", "routes[0].name:" },
    { "{\"routes\":[{\"name\":\"r\"}]}", "routes[0].service:" },
    { "{\"routes\":[{\"name\":\"r\",\"service\":\"s\"},{\"name\":\"q\","
      "\"service\":\"s\",\"host\":7}]}",
      "routes[1].host:" },
    { "{\"routes\":[{\"name\":\"r\",\"service\":\"s\",\"prefix\":[]}]}",
      "routes[0].prefix:" },
    { "{\"routes\":[{\"name\":\"r\",\"service\":\"s\",\"priority\":-1}]}",
      "routes[0].priority:" },
    { "{\"routes\":[{\"name\":\"r\",\"service\":\"s\",\"attempts\":1e9}]}",
      "routes[0].attempts:" },
    { "{\"routes\":[{\"name\":\"r\",\"service\":\"s\","
      "\"slack_factor\":1e300}]}",
      "routes[0].slack_factor:" },
    { "{\"routes\":[{\"name\":\"r\",\"service\":\"s\","
      "\"slack_factor\":\"2\"}]}",
      "routes[0].slack_factor:" },
    { "{\"routes\":[{\"name\":\"r\",\"service\":\"s\","
      "\"target_latency_ms\":9223372036854775807}]}",
      "routes[0].target_latency_ms:" },
    { "{\"routes\":[{\"name\":\"r\",\"service\":\"s\",\"advice\":7}]}",
      "routes[0].advice:" },
    { "{\"routes\":[{\"name\":\"r\",\"service\":\"s\",\"advice\":"
      "{\"decision_ms\":-1e300}}]}",
      "routes[0].advice.decision_ms:" },
    { "{\"routes\":[{\"name\":\"r\",\"service\":\"s\",\"advice\":"
      "{\"interval_ms\":[]}}]}",
      "routes[0].advice.interval_ms:" },
    { "{\"routes\":[],\"tenants\":{}}", "tenants:" },
    { "{\"routes\":[],\"tenants\":[7]}", "tenants[0].name:" },
    { "{\"routes\":[],\"tenants\":[{\"name\":\"t\",\"weight\":-1}]}",
      "tenants[0].weight:" },
    { "{\"routes\":[],\"tenants\":[{\"name\":\"t\",\"api_keys\":7}]}",
      "tenants[0].api_keys:" },
    { "{\"routes\":[],\"tenants\":[{\"name\":\"t\",\"cap\":7}]}",
      "tenants[0].cap:" },
    { "{\"routes\":[],\"tenants\":[{\"name\":\"t\","
      "\"cap\":{\"cpu\":-9223372036854775808}}]}",
      "tenants[0].cap:" }
  };

  for (const auto &[text, field] : invalid)
    {
      char *problem = nullptr;
      rst_cellconfig *config
          = rst_adapter_parse_config (text, strlen (text), &problem);

      EXPECT_EQ (config, nullptr) << text;
      rst_cellconfig_destroy (config);
      EXPECT_EQ (std::string (problem != nullptr ? problem : "")
                     .substr (0, strlen (field)),
                 field)
          << text;
      g_free (problem);
    }
}

static bool
parse_instance (const std::string &text, rst_instance_entry *entry,
                const char **problem)
{
  return rst_adapter_parse_instance ("i", text.data (), text.size (), entry,
                                     problem);
}

TEST (Adapter, NamesTheFieldOfAnUnusableInstanceEntry)
{
  rst_instance_entry entry;
  const char *problem = nullptr;
  static const struct
  {
    const char *text;
    const char *field;
  } unusable[]
      = { { "", "entry:" },
          { "{", "entry:" },
          { "[]", "entry:" },
          { "{\"service\":\"s\",\"addr\":\"10.0.0.1:1\"}", "zone:" },
          { "{\"service\":\"s\",\"addr\":\"10.0.0.1:1\",\"zone\":\"z\","
            "\"state\":\"resting\",\"capacity\":{\"cpu\":5}}",
            "state:" },
          { "{\"service\":4,\"addr\":\"10.0.0.1:1\",\"zone\":\"z\","
            "\"state\":\"ready\",\"capacity\":{\"cpu\":5}}",
            "service:" },
          { "{\"service\":\"s\",\"addr\":\"a:1\",\"zone\":\"z\","
            "\"state\":\"ready\",\"capacity\":{\"cpu\":5}}",
            "addr:" },
          { "{\"service\":\"s\",\"addr\":\"10.0.0.1:1\",\"zone\":\"z\","
            "\"state\":\"ready\"}",
            "capacity:" } };

  for (const auto &[text, field] : unusable)
    {
      EXPECT_FALSE (parse_instance (text, &entry, &problem)) << text;
      EXPECT_EQ (std::string (problem).substr (0, strlen (field)), field);
    }
}

TEST (Adapter, ParsesInstanceEntry)
{
  rst_instance_entry entry;
  const char *problem = nullptr;

  ASSERT_TRUE (parse_instance (
      "{\"service\":\"s\",\"addr\":\"10.0.0.1:1\",\"zone\":\"z\",\"state\":"
      "\"draining\",\"capacity\":{\"cpu\":5,\"mem_mb\":6},\"labels\":"
      "[\"a\",\"r1-3\"]}",
      &entry, &problem));
  EXPECT_EQ (problem, nullptr);
  EXPECT_TRUE (entry.draining);
  EXPECT_STREQ (entry.rack, "r1-3");
  EXPECT_TRUE (rst_instance_entry_has_label (&entry, "a"));
  EXPECT_FALSE (rst_instance_entry_has_label (&entry, "r1"));
}

// "servers/a" would be the key of another instance.
TEST (Adapter, SkipsItemsWhoseKeyIsNoKeyOfTheStore)
{
  rst_store_answer *answer = rst_store_answer_new ();
  std::string text = "{\"items\":[{\"key\":\"servers/a\\u0000b\",\"value\":"
                     "\"eA==\"},{\"key\":\"servers/"
                     + std::string (300, 'c')
                     + "\",\"value\":\"eA==\"},{\"key\":7},{},null,[],"
                       "{\"key\":\"servers/d\",\"value\":\"eA==\"}],"
                       "\"current_rev\":7}";

  ASSERT_TRUE (rst_platform_parse_items (text.c_str (), answer));
  ASSERT_EQ (answer->items->len, 1u);
  EXPECT_STREQ (((rst_store_item *)g_ptr_array_index (answer->items, 0))->key,
                "servers/d");
  rst_store_answer_free (answer);
  answer = rst_store_answer_new ();
  EXPECT_TRUE (rst_platform_parse_items ("{\"key\":\"a\\u0000\"}", answer));
  EXPECT_EQ (answer->items->len, 0u);
  rst_store_answer_free (answer);
}

TEST (Adapter, ParsesItemsWhoseValueIsNoBase64)
{
  for (const char *value :
       { "\"\"", "\"=\"", "\"?!\"", "\"eA=\"", "\"eA==eA==\"",
         "\"\\u0000eA==\"", "7", "null", "[[]]" })
    {
      rst_store_answer *answer = rst_store_answer_new ();
      std::string text
          = "{\"items\":[{\"key\":\"a\",\"value\":" + std::string (value)
            + "},{\"key\":\"b\",\"value\":\"eA==\"}]}";

      ASSERT_TRUE (rst_platform_parse_items (text.c_str (), answer));
      ASSERT_EQ (answer->items->len, 2u) << value;
      auto *item = (rst_store_item *)g_ptr_array_index (answer->items, 1);

      EXPECT_STREQ ((const char *)item->value, "x") << value;
      rst_store_answer_free (answer);
    }
}

TEST (Adapter, ParsesJobAndNamesInvalidField)
{
  const char *problem = nullptr;
  rst_jobdesc *desc = rst_adapter_parse_job (
      "{\"spec\":\"x\",\"phases\":[{\"count\":4,\"cpu\":500},{\"count\":2,"
      "\"after\":[0],\"gang\":true,\"constraints\":\"a\"}]}",
      &problem);

  ASSERT_NE (desc, nullptr);
  EXPECT_EQ (desc->step_count, 2);
  EXPECT_TRUE (desc->steps[1].gang);
  EXPECT_STREQ (desc->steps[1].label, "a");
  rst_jobdesc_destroy (desc);
  EXPECT_EQ (rst_adapter_parse_job ("{\"spec\":\"x\"}", &problem), nullptr);
  EXPECT_EQ (std::string (problem).substr (0, 7), "phases:");
  EXPECT_EQ (rst_adapter_parse_job (
                 "{\"spec\":\"x\",\"phases\":[{\"count\":0}]}", &problem),
             nullptr);
  EXPECT_EQ (std::string (problem).substr (0, 6), "count:");
  EXPECT_EQ (rst_adapter_parse_job (
                 "{\"spec\":\"x\",\"phases\":[{\"count\":1,\"after\":[0]}]}",
                 &problem),
             nullptr);
  EXPECT_EQ (std::string (problem).substr (0, 6), "after:");
}

// Guards against jobs within the bound on a body that take much more memory
// than it, at jobd and in the planner.
TEST (Adapter, RejectsJobThatIsMuchLargerThanAnyOrdinaryOne)
{
  auto parse = [] (const std::string &members) {
    std::string text = "{\"spec\":\"x\",\"phases\":[" + members + "]}";
    const char *problem = "";
    rst_jobdesc *desc = rst_adapter_parse_job (text.c_str (), &problem);
    std::string result = desc != nullptr ? "" : problem;

    rst_jobdesc_destroy (desc);
    return result.substr (0, result.find (':'));
  };
  auto repeat = [] (const std::string &text, int count) {
    std::string all = text;

    for (int i = 1; i < count; i++)
      all += "," + text;
    return all;
  };
  std::string filler (255, 'x');
  std::string first = repeat ("{\"after\":[]}", 64);

  // The planner decides by its memory whether it takes that many tasks.
  EXPECT_EQ (parse (repeat ("{\"count\":10000}", 64)), "");
  EXPECT_EQ (parse ("{\"constraints\":\"" + filler + "\",\"affinity\":\""
                    + filler + "\",\"image\":\"" + filler + "\"}"),
             "");
  EXPECT_EQ (parse ("{\"constraints\":\"" + filler + "x\"}"), "constraints");
  EXPECT_EQ (parse ("{\"affinity\":\"" + filler + "x\"}"), "affinity");
  EXPECT_EQ (parse ("{\"image\":\"" + std::string (1025, 'x') + "\"}"),
             "image");
  EXPECT_EQ (parse (first), "");
  EXPECT_EQ (parse ("{},{\"after\":[" + repeat ("0", 65) + "]}"), "after");
  EXPECT_EQ (parse (repeat ("{}", 1100)), "body");
  EXPECT_EQ (parse ("{\"more\":[" + repeat ("0", 20000) + "]}"), "body");
}

TEST (Adapter, NamesTheNumberOfAJobThatIsOutOfRange)
{
  static const struct
  {
    const char *members;
    const char *field;
  } invalid[] = { { "\"count\":4294967297", "count:" },
                  { "\"count\":\"2\"", "count:" },
                  { "\"count\":1e300", "count:" },
                  { "\"cpu\":9223372036854775807", "cpu:" },
                  { "\"cpu\":-1", "cpu:" },
                  { "\"mem_mb\":99999999999999999999", "mem_mb:" },
                  { "\"gpu\":2147483648", "gpu:" },
                  { "\"gpu\":[]", "gpu:" },
                  { "\"est_runtime_ms\":1e300", "est_runtime_ms:" },
                  { "\"est_runtime_ms\":-1", "est_runtime_ms:" },
                  { "\"target_ms\":9223372036854775807", "target_ms:" },
                  { "\"anti_affinity\":4294967297", "anti_affinity:" },
                  { "\"lossy\":-4294967295", "lossy:" } };

  for (const auto &[members, field] : invalid)
    {
      const char *problem = nullptr;
      std::string text
          = "{\"spec\":\"x\",\"phases\":[{" + std::string (members) + "}]}";

      EXPECT_EQ (rst_adapter_parse_job (text.c_str (), &problem), nullptr)
          << text;
      EXPECT_EQ (std::string (problem != nullptr ? problem : "")
                     .substr (0, strlen (field)),
                 field)
          << text;
    }
  for (const std::string &members :
       { std::string ("\"repeats\":4294967296,\"period_ms\":1"),
         std::string ("\"repeats\":2147483647,\"period_ms\":31536000000"),
         std::string ("\"repeats\":2,\"period_ms\":9223372036854775807"),
         std::string ("\"repeats\":2,\"period_ms\":9,\"start_at_ms\":-1"),
         std::string ("\"start_at_ms\":9223372036854775807") })
    {
      const char *problem = nullptr;
      std::string text
          = "{\"spec\":\"x\"," + members + ",\"phases\":[{\"count\":1}]}";

      EXPECT_EQ (rst_adapter_parse_job (text.c_str (), &problem), nullptr)
          << text;
    }
}
