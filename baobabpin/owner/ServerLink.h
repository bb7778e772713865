/// The connections from a group owner to one upstream server: one for each
/// slot, one for status requests and one for control calls (prepare, promote
/// and follow).
///
/// \code
///   if (link.hasFreeSlot())
///     link.call(request, timeout, [](Answer answer, TimePoint sentAt) { ...
///     });
/// \endcode
#pragma once

#include "baobabpin/upstream/UpstreamConnection.h"

#include <memory>
#include <utility>
#include <vector>

namespace baobabpin::owner {

/// Receives the answer and the time at which its request was sent.
using LinkCallback = std::function<void(upstream::Answer, base::TimePoint)>;

struct LinkSettings {
  http::Endpoint Server;
  /// Local IP address of the connections; empty for the system's choice.
  std::string LocalAddress;
  /// Number of statements and transactions that may run at the same time.
  unsigned Slots = 2;
};

class ServerLink {
public:
  /// A connection that runs one statement or one transaction at a time.
  class Slot {
  public:
    bool isFree() const { return !Reserved && !CallInFlight; }

  private:
    friend class ServerLink;
    std::unique_ptr<upstream::UpstreamConnection> Connection;
    LinkCallback Callback;
    base::TimePoint SentAt;
    /// Incremented by each call and abort, so that the late answer of an
    /// aborted call is recognized and ignored.
    std::uint64_t Generation = 0;
    /// A call has no answer yet.
    bool CallInFlight = false;
    /// A transaction holds the slot.
    bool Reserved = false;
  };

  ServerLink(kernel::EventLoop &loop, LinkSettings settings);

  /// Opens the connections of the free slots by a status request in each, so
  /// that the first statements don't wait for the connection setup of about
  /// 10 ms.
  void openConnections();

  bool hasFreeSlot() const;
  /// Counts the slots that are reserved or have a call without an answer.
  unsigned pending() const;

  /// Runs one statement in a free slot. Requires hasFreeSlot().
  template <typename Request>
  void call(const Request &request, base::Duration timeout,
            LinkCallback callback) {
    callIn(*freeSlot(), request, timeout, std::move(callback));
  }

  /// Reserves a free slot for a transaction. Requires hasFreeSlot().
  Slot *reserve();
  /// Ends a reservation. With \p discard it closes the connection, which makes
  /// the server roll back the transaction.
  void release(Slot &slot, bool discard);
  template <typename Request>
  void callIn(Slot &slot, const Request &request, base::Duration timeout,
              LinkCallback callback) {
    beginCall(slot, std::move(callback));
    slot.Connection->call(request, timeout, makeAnswerCallback(slot));
  }

  /// Ends the calls that were sent before \p sentBefore as lost and closes
  /// their connections.
  void abortCalls(base::TimePoint sentBefore);

  /// Sends a status request. It has a connection of its own because the server
  /// may delay the answer. A status request still in flight is cancelled: its
  /// connection is closed and its callback is never called.
  void status(const upstream::StatusRequest &request, base::Duration timeout,
              LinkCallback callback);
  /// Sends a control call. A control call still in flight is cancelled: its
  /// connection is closed and its callback is never called.
  template <typename Request>
  void control(const Request &request, base::Duration timeout,
               LinkCallback callback) {
    if (Control.isBusy())
      Control.disconnect();
    auto sentAt = base::Clock::now();
    Control.call(
        request, timeout,
        [callback = std::move(callback), sentAt](upstream::Answer answer) {
          callback(std::move(answer), sentAt);
        });
  }

private:
  Slot *freeSlot();
  void beginCall(Slot &slot, LinkCallback callback);
  upstream::AnswerCallback makeAnswerCallback(Slot &slot);

  LinkSettings Settings;
  std::vector<std::unique_ptr<Slot>> Slots;
  upstream::UpstreamConnection Status;
  upstream::UpstreamConnection Control;
};

} // namespace baobabpin::owner
