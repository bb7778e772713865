#include "standins/load/CallerClient.h"

#include <memory>
#include <utility>

namespace standins::load {

using namespace baobabpin;
using nlohmann::json;

namespace {

std::string transferName(http::Transfer transfer) {
  switch (transfer) {
  case http::Transfer::Completed:
    return "completed";
  case http::Transfer::NotSent:
    return "not_sent";
  case http::Transfer::Broken:
    return "broken";
  case http::Transfer::TimedOut:
    return "timed_out";
  }
  return "broken";
}

/// A member as text; a value of another type is rendered as JSON, so that an
/// unexpected answer shows up in the history instead of being lost.
std::string textMember(const json &object, const char *name) {
  auto it = object.find(name);
  if (it == object.end() || it->is_null())
    return "";
  return it->is_string() ? it->get<std::string>() : it->dump();
}

} // namespace

void readReply(const http::HttpReply &reply, AttemptEnd &end) {
  history::HistoryRecord &record = end.Record;
  record.Transfer = transferName(reply.Result);
  if (reply.Result != http::Transfer::Completed)
    return;
  json answer = json::parse(reply.Body, nullptr, false);
  if (!answer.is_object()) {
    record.Transfer = "broken";
    return;
  }
  record.Outcome = textMember(answer, "outcome");
  record.Result = textMember(answer, "result");
  record.Server = textMember(answer, "server");
  record.Role = textMember(answer, "role");
  record.AnsweredId = textMember(answer, "request_id");
  auto error = answer.find("error");
  if (error != answer.end() && error->is_object())
    record.Error = textMember(*error, "type");
  auto replayed = answer.find("replayed");
  record.Replayed = replayed != answer.end() && *replayed == json(true);
  auto age = answer.find("age_ms");
  if (age != answer.end() && age->is_number())
    record.AgeMs = age->get<std::int64_t>();
  end.Token = textMember(answer, "session");
  end.Transaction = textMember(answer, "transaction");
}

CallerClient::CallerClient(kernel::EventLoop &loop, NodePool &pool,
                           std::chrono::microseconds latency,
                           std::ostream &history)
    : Loop(loop), Pool(pool), Latency(latency), History(history) {}

void CallerClient::runLater(std::function<void()> callback) {
  std::uint64_t id = NextTimer++;
  Timers[id] =
      Loop.runAfter(Latency, [this, id, callback = std::move(callback)] {
        // Keeps the timer and its callback alive until the callback returns.
        auto finished = Timers.extract(id);
        callback();
      });
}

void CallerClient::send(Attempt attempt, AttemptCallback callback) {
  ++Attempts;
  attempt.Record.Node = http::formatEndpoint(Pool.endpoint(attempt.Node));
  attempt.Record.SentUs = history::monotonicNowUs();
  auto shared = std::make_shared<Attempt>(std::move(attempt));
  runLater([this, shared, callback = std::move(callback)] {
    post(std::move(*shared), callback);
  });
}

void CallerClient::post(Attempt attempt, const AttemptCallback &callback) {
  auto end = std::make_shared<AttemptEnd>();
  end->Record = std::move(attempt.Record);
  auto onReply = [this, end, callback](const http::HttpReply &reply) {
    readReply(reply, *end);
    runLater([this, end, callback] {
      end->Record.ReceivedUs = history::monotonicNowUs();
      callback(*end);
      History << formatRecord(end->Record) << '\n';
    });
  };
  Pool.post(attempt.Node, attempt.Path, attempt.Body.dump(), attempt.Timeout,
            onReply);
}

} // namespace standins::load
