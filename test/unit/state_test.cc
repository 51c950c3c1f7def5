/**
 * DOC: state_test - tests of settings, API keys, job records, messages and
 * settings files
 */
#include <cstdlib>
#include <cstring>
#include <string>

#include <glib.h>
#include <gtest/gtest.h>

extern "C"
{
#include "protocol/message.h"
#include "state/job.h"
#include "state/json.h"
#include "state/settings.h"
#include "util/conf.h"
}

namespace
{

class Settings : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    settings = rst_settings_create ();
    problems = g_string_new ("");
  }

  void
  TearDown () override
  {
    rst_settings_destroy (settings);
    g_string_free (problems, TRUE);
  }

  int
  apply (const char *key, uint64_t revision, const char *value)
  {
    g_string_truncate (problems, 0);
    return rst_settings_apply (settings, key, revision, value, problems);
  }

  struct rst_settings *settings;
  GString *problems;
};

TEST_F (Settings, IgnoreOlderRevisions)
{
  EXPECT_EQ (apply ("settings/teams/t", 5, "{\"share\":2}"), RST_STATE_OK);
  EXPECT_EQ (apply ("settings/teams/t", 4, "{\"share\":9}"), RST_STATE_STALE);
  EXPECT_EQ (rst_settings_find_team (settings, "t")->share, 2u);
  EXPECT_EQ (rst_settings_get_newest_revision (settings), 5u);
}

TEST_F (Settings, RejectAnInvalidBranchAsAWhole)
{
  uint64_t rejected = 0;

  ASSERT_EQ (apply ("settings/teams/t", 5, "{\"share\":2}"), RST_STATE_OK);
  EXPECT_EQ (apply ("settings/teams/t", 6,
                    "{\"share\":3,\"upper_limit\":\"many\",\"colour\":1}"),
             RST_STATE_INVALID);
  EXPECT_STREQ (problems->str, "colour: unknown field\n"
                               "upper_limit: must be a whole number\n");
  EXPECT_EQ (rst_settings_find_team (settings, "t")->share, 2u);
  EXPECT_NE (
      rst_settings_get_problem (settings, "settings/teams/t", &rejected),
      nullptr);
  EXPECT_EQ (rejected, 6u);
  EXPECT_EQ (apply ("settings/teams/t", 7, "{\"share\":4}"), RST_STATE_OK);
  EXPECT_EQ (
      rst_settings_get_problem (settings, "settings/teams/t", &rejected),
      nullptr);
}

TEST_F (Settings, NameTheInvalidField)
{
  EXPECT_EQ (apply ("settings/zones", 1, "{\"z1\":{\"state\":\"gone\"}}"),
             RST_STATE_INVALID);
  EXPECT_STREQ (problems->str, "z1.state: is not one of the known words\n");
  EXPECT_EQ (apply ("settings/teams/t", 1,
                    "{\"share\":1,\"keys\":[{\"id\":\"k\",\"hash\":\"x\"}]}"),
             RST_STATE_INVALID);
  EXPECT_STREQ (problems->str,
                "keys[0].hash: must have 64 hexadecimal digits\n");
  EXPECT_EQ (apply ("settings/nothing", 1, "{}"), RST_STATE_INVALID);
  EXPECT_STREQ (problems->str, "(key): no such branch\n");
}

TEST_F (Settings, TakeAZoneOutAndBringItBack)
{
  apply ("settings/zones", 1, "{\"z1\":{\"state\":\"out\"}}");
  EXPECT_TRUE (rst_settings_is_zone_out (settings, "z1"));
  EXPECT_FALSE (rst_settings_is_zone_out (settings, "z2"));
  apply ("settings/zones", 2, "{\"z1\":{\"state\":\"in\"}}");
  EXPECT_FALSE (rst_settings_is_zone_out (settings, "z1"));
}

TEST_F (Settings, HashDoesNotDependOnOrder)
{
  struct rst_settings *other = rst_settings_create ();

  apply ("settings/teams/a", 1, "{\"share\":1}");
  apply ("settings/teams/b", 2, "{\"share\":1}");
  rst_settings_apply (other, "settings/teams/b", 2, "{\"share\":1}", problems);
  EXPECT_NE (rst_settings_get_hash (settings), rst_settings_get_hash (other));
  rst_settings_apply (other, "settings/teams/a", 1, "{\"share\":1}", problems);
  EXPECT_EQ (rst_settings_get_hash (settings), rst_settings_get_hash (other));
  rst_settings_destroy (other);
}

TEST_F (Settings, KeyIdentifiesItsTeamUntilWithdrawn)
{
  struct rst_team team = {};
  struct rst_team_key stored;
  unsigned char secret[32];
  char key[256];
  char *text;

  memset (secret, 7, sizeof secret);
  rst_team_key_create ("t", "k1", secret, key, sizeof key, &stored);
  team.share = 1;
  team.upper_limit = RST_NO_UPPER_LIMIT;
  team.key_count = 1;
  team.keys[0] = stored;
  text = rst_team_format (&team);
  ASSERT_EQ (apply ("settings/teams/t", 1, text), RST_STATE_OK);
  free (text);
  ASSERT_NE (rst_settings_find_team_by_key (settings, key), nullptr);
  EXPECT_STREQ (rst_settings_find_team_by_key (settings, key)->name, "t");
  key[strlen (key) - 1] ^= 1;
  EXPECT_EQ (rst_settings_find_team_by_key (settings, key), nullptr);
  key[strlen (key) - 1] ^= 1;
  EXPECT_EQ (rst_settings_find_team_by_key (settings, ""), nullptr);
  EXPECT_EQ (rst_settings_find_team_by_key (settings, "t/k1"), nullptr);
  EXPECT_EQ (rst_settings_find_team_by_key (settings, "u/k1/ab"), nullptr);
  ASSERT_EQ (apply ("settings/teams/t", 2, "{\"share\":1}"), RST_STATE_OK);
  EXPECT_EQ (rst_settings_find_team_by_key (settings, key), nullptr);
}

TEST (Job, NamesTheInvalidField)
{
  struct rst_job_spec spec;
  char id[RST_NAME_SIZE];
  GString *problems = g_string_new ("");

  EXPECT_EQ (rst_job_spec_parse ("{\"policy\":\"batch\",\"tasks\":0,"
                                 "\"cpu_milli\":1,\"memory_mb\":1}",
                                 id, &spec, problems),
             RST_STATE_INVALID);
  EXPECT_STREQ (problems->str, "tasks: must be from 1 to 100000\n");
  g_string_truncate (problems, 0);
  EXPECT_EQ (rst_job_spec_parse ("{\"policy\":\"batch\",\"tasks\":2,"
                                 "\"cpu_milli\":1,\"memory_mb\":1}",
                                 id, &spec, problems),
             RST_STATE_INVALID);
  EXPECT_STREQ (problems->str, "run_ms: is missing\n");
  g_string_truncate (problems, 0);
  EXPECT_EQ (rst_job_spec_parse ("[", id, &spec, problems), RST_STATE_INVALID);
  g_string_free (problems, TRUE);
}

TEST (Job, RecordIsUnchangedByFormatAndParse)
{
  struct rst_job_record record = {};
  struct rst_job_record decoded;
  char *text;

  strcpy (record.name, "t/j");
  strcpy (record.owner, "z1:e1:1");
  record.generation = 3;
  record.spec.tasks = 4;
  record.start_intent = 2;
  record.task_outcomes = g_strdup ("d.u.");
  text = rst_job_record_format (&record);
  ASSERT_EQ (rst_job_record_parse (text, 8, &decoded), RST_STATE_OK);
  EXPECT_STREQ (decoded.task_outcomes, "d.u.");
  EXPECT_EQ (decoded.generation, 3u);
  EXPECT_EQ (decoded.start_intent, 2);
  EXPECT_FALSE (rst_job_record_is_finished (&decoded));
  EXPECT_STREQ (rst_job_record_get_state (&decoded), "running");
  free (text);
  rst_job_record_clear (&record);
  rst_job_record_clear (&decoded);
  EXPECT_EQ (rst_job_record_parse ("{}", 1, &decoded), RST_STATE_INVALID);
}

TEST (Message, IsUnchangedByEncodeAndDecode)
{
  struct rst_message message = {};
  struct rst_message decoded;
  struct rst_blob frame;
  const char *field;

  message.type = RST_QUERY;
  message.id = 77;
  message.query.team = (char *)"t";
  message.query.request_id = (char *)"r";
  message.query.idempotent = true;
  message.query.deadline_ms = 500;
  message.query.body.data = (char *)"a\0b";
  message.query.body.length = 3;
  ASSERT_EQ (rst_message_encode (&message, &frame), RST_PROTOCOL_OK);
  ASSERT_EQ (rst_message_decode (frame.data, frame.length, &decoded, &field),
             RST_PROTOCOL_OK);
  EXPECT_EQ (decoded.id, 77u);
  EXPECT_STREQ (decoded.query.team, "t");
  EXPECT_TRUE (decoded.query.idempotent);
  EXPECT_EQ (decoded.query.body.length, 3u);
  EXPECT_EQ (memcmp (decoded.query.body.data, "a\0b", 3), 0);
  rst_message_clear (&decoded);
  rst_blob_free (&frame);
}

TEST (Message, DecodeRejectsMalformedFrames)
{
  struct rst_message message = {};
  struct rst_message decoded;
  struct rst_blob frame;
  const char *field;

  message.type = RST_SETTINGS_DIGEST;
  ASSERT_EQ (rst_message_encode (&message, &frame), RST_PROTOCOL_OK);
  for (size_t length = 0; length < frame.length; length++)
    EXPECT_NE (rst_message_decode (frame.data, length, &decoded, &field),
               RST_PROTOCOL_OK);
  /* Byte 0 is the array's header.  Bytes 1 to 3 hold the version, type and
     request number, byte 4 the first field. */
  frame.data[1] = 9;
  EXPECT_EQ (rst_message_decode (frame.data, frame.length, &decoded, &field),
             RST_PROTOCOL_VERSION);
  frame.data[1] = 1;
  frame.data[2] = 99;
  EXPECT_EQ (rst_message_decode (frame.data, frame.length, &decoded, &field),
             RST_PROTOCOL_TYPE);
  frame.data[2] = RST_SETTINGS_DIGEST;
  frame.data[4] = (char)0xc3;
  EXPECT_EQ (rst_message_decode (frame.data, frame.length, &decoded, &field),
             RST_PROTOCOL_FIELD);
  EXPECT_STREQ (field, "hash");
  rst_blob_free (&frame);
  message.type = 0;
  EXPECT_EQ (rst_message_encode (&message, &frame), RST_PROTOCOL_TYPE);
}

TEST (Conf, ChecksAddressesAndNames)
{
  EXPECT_TRUE (rst_conf_is_address ("127.0.0.1:80"));
  EXPECT_FALSE (rst_conf_is_address ("localhost:80"));
  EXPECT_FALSE (rst_conf_is_address ("127.0.0.1"));
  EXPECT_FALSE (rst_conf_is_address ("127.0.0.1:70000"));
  EXPECT_TRUE (rst_conf_is_name ("a-b_c.9"));
  EXPECT_FALSE (rst_conf_is_name (""));
  EXPECT_FALSE (rst_conf_is_name ("a b"));
}

TEST (Conf, ReadsJsonWithComments)
{
  GString *problems = g_string_new ("");
  struct json_object *object
      = rst_conf_parse ("{ // why\n \"a\": 1 /* so */ }", problems);

  ASSERT_NE (object, nullptr);
  json_object_put (object);
  EXPECT_EQ (rst_conf_parse ("{\"a\": ", problems), nullptr);
  g_string_free (problems, TRUE);
}

// Guards against a small body that grows many times when it is parsed.
TEST (JsonBound, CountsValuesOutsideOfStrings)
{
  rst_json_bound bound = { 3, 2 };
  auto is_within = [&bound] (const std::string &text) {
    return rst_json_is_within (text.c_str (), text.size (), &bound);
  };

  EXPECT_TRUE (is_within ("[{},{},1]"));
  EXPECT_FALSE (is_within ("[{},{},{}]"));
  // The parser accepts single quotes and comments, which must hide nothing.
  EXPECT_FALSE (is_within ("['\"',{},{},{}]"));
  EXPECT_TRUE (is_within ("['{{{{{{']"));
  EXPECT_FALSE (is_within ("[/*\"*/{}]"));
  EXPECT_FALSE (is_within ("[1,1,1,1]"));
  EXPECT_TRUE (is_within ("{\"[[[[,,,,\\\"[[[[,,,,\":\"{{{{,,,,\\\\\"}"));
  EXPECT_FALSE (is_within ("\"\\\\\"[[[["));
  EXPECT_TRUE (is_within ("\"\\"));
  EXPECT_TRUE (is_within (""));
}

}
