#include "baobabpin/pooling/RunContact.h"

#include "baobabpin/pooling/ServerConnection.h"
#include "platform/Wire.h"

#include <memory>
#include <utility>
#include <vector>

namespace baobabpin::pooling {
namespace {

using Answer = RunContact::Answer;

/// One contact. The callbacks of its connection and of its timer keep it alive.
struct Contact : std::enable_shared_from_this<Contact> {
  std::shared_ptr<ServerConnection> Connection;
  kernel::Timer Deadline;
  std::function<void(const RunContact &)> Callback;

  void onOpened(std::optional<sql::ErrorCode> error) {
    if (!Callback)
      return;
    if (!error) {
      Connection->run(platform::formatStatusQuery(), 1,
                      [self = shared_from_this()](const auto &replies) {
                        self->onReply(replies.back());
                      });
      return;
    }
    bool isAbsent = *error == sql::ErrorCode::Failed ||
                    *error == sql::ErrorCode::WrongServer;
    finish({isAbsent ? Answer::Absent : Answer::Busy, {}});
  }

  void onReply(const sql::Reply &reply) {
    if (reply.Lost) {
      // The server had accepted the connection.
      finish({Answer::Nothing, {}});
      return;
    }
    auto status = reply.succeeded() && !reply.Rows.empty()
                      ? platform::parseStatusRow(reply.Rows.front())
                      : std::nullopt;
    finish({status ? Answer::Status : Answer::Busy, status});
  }

  void finish(const RunContact &result) {
    auto callback = std::exchange(Callback, nullptr);
    if (!callback)
      return;
    auto self = shared_from_this();
    Deadline.cancel();
    if (auto connection = std::exchange(Connection, nullptr))
      connection->close();
    callback(result);
  }
};

} // namespace

void contactRun(kernel::EventLoop &loop, const base::GroupName &group,
                const cluster::ServerRun &run,
                std::chrono::milliseconds timeout,
                std::function<void(const RunContact &)> callback) {
  auto contact = std::make_shared<Contact>();
  contact->Callback = std::move(callback);
  contact->Deadline = loop.runAfter(timeout, [contact] {
    contact->finish({Answer::Nothing, {}});
  });
  contact->Connection =
      ServerConnection::open(loop, run.Address, group, {}, run.Id,
                             [contact](std::optional<sql::ErrorCode> error) {
                               contact->onOpened(error);
                             });
}

} // namespace baobabpin::pooling
