#include "baobabpin/relay/Messages.h"

#include <doctest/doctest.h>

namespace baobabpin::relay {
namespace {

using namespace std::chrono_literals;

Request runRequest() {
  Request it;
  it.Kind = RequestKind::Run;
  it.Sequence = 7;
  it.Group = "g";
  it.Server = "s1";
  it.Transaction = 3;
  it.StatementId = "5c0e";
  it.Statement = {sql::Verb::Write, "1a4", "data", sql::Access::Read,
                  "WRITE 1a4 data"};
  it.Database = "db";
  it.Reads = cluster::Consistency::ReadYourWrites;
  it.Priority = 2;
  it.TimeLeft = 640ms;
  it.Writes = true;
  it.NeedsPrimary = true;
  it.Begin = sql::Verb::Begin;
  it.WaitFor = base::LogPosition{3, 1207};
  it.Values = {{"tz", "kst"}};
  it.Prepared = PreparedStatement{sql::Access::Write, "q2c"};
  return it;
}

TEST_CASE("a request is the same after encoding and decoding") {
  Request sent = runRequest();
  auto got = decodeRequest(encode(sent));
  REQUIRE(got);
  CHECK(got->Sequence == 7);
  CHECK(got->Statement == sent.Statement);
  CHECK(got->WaitFor == sent.WaitFor);
  CHECK(got->Values == sent.Values);
  CHECK(got->Prepared->Shape == "q2c");
  CHECK(got->Begin == sql::Verb::Begin);
  CHECK(got->TimeLeft == 640ms);
  CHECK(got->Writes);
  CHECK(got->Organisation.empty());
  CHECK(encode(sent).find("organisation") == std::string::npos);

  SUBCASE("the target is sent if it is known") {
    CHECK(encode(sent).find("target_ms") == std::string::npos);
    sent.TargetLeft = 150ms;
    CHECK(decodeRequest(encode(sent))->TargetLeft == 150ms);
  }

  SUBCASE("the organisation is sent if there is one") {
    sent.Organisation = "miny420";
    CHECK(decodeRequest(encode(sent))->Organisation == "miny420");
  }

  SUBCASE("bytes that are not valid UTF-8 arrive unchanged") {
    // Data of clients may contain any bytes, but JSON strings must be UTF-8.
    sent.Statement.Argument = "\xff\x80\x41\xc3";
    sent.Statement.Text = "WRITE 1a4 \xff\x80\x41\xc3";
    auto copy = decodeRequest(encode(sent));
    REQUIRE(copy);
    CHECK(copy->Statement == sent.Statement);
    CHECK(encode(sent).find('\n') == std::string::npos);
  }
}

TEST_CASE("a reply is the same after encoding and decoding") {
  Reply sent;
  sent.Sequence = 8;
  sent.Result.Rows = {"a b", "\xfe"};
  sent.Result.Signature = "7.1f3";
  sent.Result.State = sql::TransactionState::Open;
  sent.Result.Position = base::LogPosition{3, 9};
  sent.Transaction = 4;
  sent.Epoch = 2;
  sent.OnPrimary = true;
  auto got = decodeReply(encode(sent));
  REQUIRE(got);
  CHECK(got->Result.Rows == sent.Result.Rows);
  CHECK(got->Result.Signature == "7.1f3");
  CHECK(got->Result.State == sql::TransactionState::Open);
  CHECK(got->Transaction == 4);
  CHECK(got->OnPrimary);
  CHECK_FALSE(got->Result.Error.has_value());
}

TEST_CASE("the expected wait of a refusal is sent only if there is one") {
  // Guards against a message that older nodes do not expect, and against a
  // value that overflows when it is added to a time.
  Reply sent;
  CHECK(encode(sent).find("wait_ms") == std::string::npos);
  CHECK(decodeReply(encode(sent))->ExpectedWait == 0ms);
  sent.ExpectedWait = 750ms;
  std::string text = encode(sent);
  CHECK(decodeReply(text)->ExpectedWait == 750ms);
  auto withWait = [&](const std::string &value) {
    std::string changed = text;
    return changed.replace(changed.find("\"wait_ms\":750"), 13,
                           "\"wait_ms\":" + value);
  };
  CHECK(decodeReply(withWait("-5"))->ExpectedWait == 0ms);
  CHECK(decodeReply(withWait("18446744073709551615"))->ExpectedWait == 1h);
  CHECK(decodeReply(withWait("-9223372036854775808"))->ExpectedWait == 0ms);
  CHECK_FALSE(decodeReply(withWait("1e300")));
  CHECK_FALSE(decodeReply(withWait("\"x\"")));
}

TEST_CASE("a deeply nested message does not end the process") {
  const std::size_t depth = 200'000;
  std::string nested = std::string(depth, '[') + std::string(depth, ']');
  CHECK_FALSE(decodeRequest(nested));
  CHECK_FALSE(decodeRequest(R"({"bytes":true,"seq":)" + nested + "}"));
  CHECK_FALSE(decodeReply(R"({"bytes":true,"seq":)" + nested + "}"));
}

TEST_CASE("a malformed message is rejected") {
  CHECK_FALSE(decodeRequest("").has_value());
  CHECK_FALSE(decodeRequest("[]").has_value());
  CHECK_FALSE(decodeRequest(R"({"seq":1})").has_value());
  Request request;
  std::string text = encode(request);
  text.replace(text.find("\"kind\":3"), 8, "\"kind\":9");
  CHECK_FALSE(decodeRequest(text).has_value());
  CHECK_FALSE(decodeReply(R"({"seq":"x"})").has_value());
}

} // namespace
} // namespace baobabpin::relay
