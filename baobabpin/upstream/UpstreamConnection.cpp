#include "baobabpin/upstream/UpstreamConnection.h"

#include <utility>

namespace baobabpin::upstream {

using http::HttpReply;
using http::Transfer;

namespace {

constexpr int HttpOk = 200;

Answer lostAnswer(bool timedOut, base::ErrorType error) {
  Answer answer;
  answer.Outcome = CallOutcome::Lost;
  answer.TimedOut = timedOut;
  answer.Error = error;
  return answer;
}

} // namespace

UpstreamConnection::UpstreamConnection(kernel::EventLoop &loop,
                                       http::Endpoint endpoint,
                                       std::string localAddress)
    : Connection(loop, std::move(endpoint), std::move(localAddress)) {}

void UpstreamConnection::send(std::uint64_t id, const std::string &path,
                              std::string body, base::Duration timeout,
                              AnswerCallback callback) {
  Connection.post(path, std::move(body), timeout,
                  [this, id, callback = std::move(callback)](HttpReply reply) {
                    if (reply.Result == Transfer::NotSent) {
                      Answer answer;
                      answer.Outcome = CallOutcome::NotSent;
                      answer.Error = base::ErrorType::ConnectionLost;
                      callback(std::move(answer));
                      return;
                    }
                    if (reply.Result != Transfer::Completed) {
                      callback(lostAnswer(reply.Result == Transfer::TimedOut,
                                          base::ErrorType::ConnectionLost));
                      return;
                    }
                    Answer answer = base::handleFailure(
                        [&]() -> base::Result<Answer> {
                          if (reply.Status != HttpOk)
                            return base::fail(base::ErrorType::InvalidMessage,
                                              "HTTP status " +
                                                  std::to_string(reply.Status));
                          return decodeAnswer(id, reply.Body);
                        },
                        [&](const base::Failure &failure) {
                          // After an invalid answer, later answers on this
                          // connection cannot be trusted either.
                          Connection.disconnect();
                          Answer lost = lostAnswer(false, failure.Type);
                          lost.Detail = failure.Detail;
                          return lost;
                        });
                    callback(std::move(answer));
                  });
}

} // namespace baobabpin::upstream
