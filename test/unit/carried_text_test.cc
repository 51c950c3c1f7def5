// Texts of others that the scheduler carries: tickets, specs, checkpoints.
#include <gtest/gtest.h>

#include "cell_harness.h"

extern "C"
{
#include "adapter.h"
#include "adapter_private.h"
#include "state/text.h"
}

using harness::Planner;

namespace
{

// Returns the ticket of an answer of the advice service that approves "i-0",
// or "(none)" if the approval is left out.
std::string
parse_ticket (const std::string &ticket)
{
  rst_advice_answer *answer = rst_advice_answer_new ();
  std::string text = "{\"approved\":[[\"i-0\",\"" + ticket + "\"]]}";
  std::string parsed = "(none)";

  EXPECT_TRUE (rst_platform_parse_tickets (text.c_str (), answer));
  if (answer->tickets->len > 0)
    parsed = g_array_index (answer->tickets, rst_ticket, 0).ticket;
  rst_advice_answer_free (answer);
  return parsed;
}

// Returns the ticket of the start order after the service has approved it.
std::string
get_ticket_of_start (const std::string &ticket)
{
  Planner planner;

  planner.start_serving (1, true);
  planner.send_call (1, RST_OPERATION_SUBMIT, "00000000000000c1",
                     Planner::make_job (1, 1000));
  planner.settle ();
  planner.send_advice (1, planner.sent_of_kind (RST_MSG_ADVISE).at (0).number,
                       { "i-0" }, ticket);
  planner.settle ();
  return planner.sent_of_kind (RST_MSG_START).at (0).ticket;
}

} // namespace

// A ticket of more than 63 characters was cut, and the instance rejected every
// start that carried it.
TEST (AdviceTicket, OfMoreThan63CharactersIsNotCut)
{
  for (size_t length : { 1, 63, 64, 65, 500, 4096 })
    {
      std::string ticket (length, 't');

      EXPECT_TRUE (parse_ticket (ticket) == ticket) << "length " << length;
      EXPECT_TRUE (get_ticket_of_start (ticket) == ticket)
          << "length " << length;
    }
}

TEST (AdviceTicket, AboveTheLimitLeavesTheApprovalOut)
{
  EXPECT_EQ (parse_ticket (std::string (RST_TICKET_BYTES_MAX + 1, 't')),
             "(none)");
}

// An instance was told the text before the first NUL of a spec, and the caller
// was told that the job was accepted.
TEST (CarriedText, WithANulIsNotCut)
{
  const char *problem = nullptr;
  rst_jobdesc *desc = rst_adapter_parse_job (
      "{\"spec\":\"a\\u0000b\\u0000\",\"phases\":[{\"cpu\":1}]}", &problem);
  rst_pack pack;
  msgpack_unpacked unpacked;
  rst_reader reader;
  rst_instance_call call = {};

  ASSERT_NE (desc, nullptr) << problem;
  rst_pack_init (&pack, 1);
  rst_jobdesc_pack (&pack, desc);
  rst_jobdesc_destroy (desc);
  ASSERT_TRUE (rst_reader_open (&reader, &unpacked, pack.buffer.data,
                                pack.buffer.size));
  desc = rst_jobdesc_read (&reader);
  ASSERT_NE (desc, nullptr);
  call.task = "t";
  call.attempt = 1;
  call.spec = desc->spec;
  call.checkpoint = desc->spec;
  call.ticket = desc->spec;
  char *body = rst_platform_format_order (&call);

  EXPECT_STREQ (body, "{\"fencing_token\":0,\"task\":\"t\",\"attempt\":1,"
                      "\"spec\":\"a\\u0000b\\u0000\","
                      "\"checkpoint\":\"a\\u0000b\\u0000\","
                      "\"ticket\":\"a\\u0000b\\u0000\"}");
  free (body);
  rst_jobdesc_destroy (desc);
  msgpack_unpacked_destroy (&unpacked);
  rst_pack_clear (&pack);
}

TEST (CarriedText, OfAJobIsRejectedIfItCanNotBeCarried)
{
  static const struct
  {
    const char *text;
    const char *field;
  } invalid[] = {
    { "{\"spec\":\"a\xC0\x80\",\"phases\":[{}]}", "spec:" },
    { "{\"spec\":5,\"phases\":[{}]}", "spec:" },
    { "{\"spec\":\"\",\"phases\":[{\"constraints\":[]}]}", "constraints:" },
    { "{\"spec\":\"\",\"phases\":[{\"image\":\"\xC0\x80\"}]}", "image:" },
  };

  for (const auto &test : invalid)
    {
      const char *problem = nullptr;

      EXPECT_EQ (rst_adapter_parse_job (test.text, &problem), nullptr);
      ASSERT_NE (problem, nullptr) << test.text;
      EXPECT_EQ (std::string (problem).find (test.field), 0u) << problem;
    }
}

// The limit of a spec counts the caller's bytes.
TEST (CarriedText, CountsANulAsOneByte)
{
  std::string nuls;
  const char *problem = nullptr;

  for (int i = 0; i < RST_SPEC_BYTES_MAX; i++)
    nuls += "\\u0000";
  std::string body = "{\"spec\":\"" + nuls + "\",\"phases\":[{}]}";
  rst_jobdesc *desc = rst_adapter_parse_job (body.c_str (), &problem);

  ASSERT_NE (desc, nullptr) << problem;
  EXPECT_EQ (rst_text_length (desc->spec), (size_t)RST_SPEC_BYTES_MAX);
  rst_jobdesc_destroy (desc);
  body.insert (body.find ("\\u"), "x");
  EXPECT_EQ (rst_adapter_parse_job (body.c_str (), &problem), nullptr);
}
