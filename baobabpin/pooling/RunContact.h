/// Asks a server that has no registration for its status, at the address that
/// it last had.
///
/// A registration says that its server could reach the store some time ago. The
/// absence of one does not say that the server has ended: it may go on
/// receiving commits. Only the server itself, or the host at its address, can
/// tell.
///
/// \code
///   contactRun(loop, "ledger-1", run, 250ms, [](const RunContact &it) {
///     if (it.Result == RunContact::Answer::Status)
///       noteAlive(it.Status->Received);
///   });
/// \endcode
#pragma once

#include "baobabpin/cluster/Types.h"
#include "baobabpin/kernel/EventLoop.h"

#include <chrono>
#include <functional>
#include <optional>

namespace baobabpin::pooling {

struct RunContact {
  enum class Answer {
    Status,  ///< The server runs, and Status is its status.
    Busy,    ///< The server runs, and did not report its status.
    Absent,  ///< The address refuses connections, or belongs to another server.
    Nothing, ///< No reply within the time limit.
  };
  Answer Result = Answer::Nothing;
  std::optional<sql::ServerStatus> Status;
};

/// Connects to the address of \p run and asks for the status. The callback is
/// called once on the loop's thread, after this function has returned. The
/// connection is closed then.
void contactRun(kernel::EventLoop &loop, const base::GroupName &group,
                const cluster::ServerRun &run,
                std::chrono::milliseconds timeout,
                std::function<void(const RunContact &)> callback);

} // namespace baobabpin::pooling
