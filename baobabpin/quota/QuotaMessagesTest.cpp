#include "baobabpin/quota/QuotaMessages.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

namespace baobabpin::quota {
namespace {

using namespace std::chrono_literals;

const QuotaRequest Request{
    "n1", {{"filings", {12, false, 0}}, {"status", {0, true, 3}}}};
const QuotaReply Reply{{{"filings", {5, 400ms, 20ms}}}};

TEST_CASE("messages are read as they were written") {
  CHECK(decodeQuotaRequest(encode(Request)) == Request);
  CHECK(decodeQuotaReply(encode(Reply)) == Reply);
  CHECK(encode(QuotaRequest{"n1", {{"a", {2, false, 0}}}}) ==
        R"({"node":"n1","wanted":{"a":{"substitute":false,"tokens":2}}})");
  CHECK(encode(Reply) == R"({"granted":{"filings":{"retry_ms":20,)"
                         R"("tokens":5,"valid_ms":400}}})");
}

TEST_CASE("amounts out of range are rejected") {
  // Guards against a peer that grants tokens for ever, or negative ones.
  auto reply = [](const std::string &tokens, const std::string &valid) {
    return decodeQuotaReply(R"({"granted":{"a":{"tokens":)" + tokens +
                            R"(,"valid_ms":)" + valid + R"(,"retry_ms":0}}})");
  };
  CHECK(reply("1", "400"));
  for (const char *amount : {"-1", "1.5", "1e300", "18446744073709551615",
                             "true", "null", "\"1\"", "9000000"}) {
    CAPTURE(std::string(amount));
    CHECK_FALSE(reply(amount, "400"));
    CHECK_FALSE(reply("1", amount));
  }
  CHECK_FALSE(decodeQuotaReply(R"({"granted":[1]})"));
  CHECK_FALSE(decodeQuotaRequest(R"({"node":"n","wanted":[]})"));
}

TEST_CASE("no decoder throws on a damaged message") {
  std::minstd_rand random(20261206);
  const std::vector<std::string> values{"null", "-1",   "1e300", "\"x\"", "[]",
                                        "{}",   "true", "\xff",  ":",     ""};
  for (const auto &sample : {encode(Request), encode(Reply)}) {
    for (int n = 0; n < 20'000; ++n) {
      std::string text = sample;
      for (auto changes = 1 + random() % 3; changes > 0 && !text.empty();
           --changes)
        text.replace(random() % text.size(), random() % 6,
                     values[random() % values.size()]);
      CAPTURE(text);
      CHECK_NOTHROW((void)decodeQuotaRequest(text));
      CHECK_NOTHROW((void)decodeQuotaReply(text));
    }
  }
}

} // namespace
} // namespace baobabpin::quota
