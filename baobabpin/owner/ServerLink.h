/// The connections from a group owner to one upstream server: one for each
/// slot, one for status requests and one for control calls.
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

/// The answer and when its request was sent.
using LinkCallback = std::function<void(upstream::Answer, base::TimePoint)>;

struct LinkSettings {
  http::Endpoint Server;
  /// IP number that connections come from; empty for the system's choice.
  std::string LocalAddress;
  /// Statements and transactions at once.
  unsigned Slots = 2;
};

class ServerLink {
public:
  /// One statement or transaction at a time.
  class Slot {
  public:
    bool isFree() const { return !Reserved && !Calling; }

  private:
    friend class ServerLink;
    std::unique_ptr<upstream::UpstreamConnection> Connection;
    LinkCallback Callback;
    base::TimePoint SentAt;
    /// Counts calls, so that an aborted call's answer is told apart.
    std::uint64_t Generation = 0;
    bool Calling = false;
    bool Reserved = false;
  };

  ServerLink(kernel::EventLoop &loop, LinkSettings settings);

  /// Opens the connections ahead of the first statements, because a new one
  /// costs about 10 ms.
  void warm();

  bool hasFreeSlot() const;
  /// Calls that have no answer yet, and reserved slots.
  unsigned pending() const;

  /// Runs one statement in a free slot; hasFreeSlot() must hold.
  template <typename Request>
  void call(const Request &request, base::Duration timeout,
            LinkCallback callback) {
    callIn(*freeSlot(), request, timeout, std::move(callback));
  }

  /// Takes a free slot for a transaction; hasFreeSlot() must hold.
  Slot *reserve();
  /// Ends a reservation. With \p discard the connection is closed, which makes
  /// the server roll back.
  void release(Slot &slot, bool discard);
  template <typename Request>
  void callIn(Slot &slot, const Request &request, base::Duration timeout,
              LinkCallback callback) {
    begin(slot, std::move(callback));
    slot.Connection->call(request, timeout, answerTo(slot));
  }

  /// Ends the calls that were sent before \p sentBefore as lost; their
  /// connections are closed.
  void abortCalls(base::TimePoint sentBefore);

  /// Status requests have a connection of their own: they may wait.
  void status(const upstream::StatusRequest &request, base::Duration timeout,
              LinkCallback callback);
  /// Replaces a control call that is still in flight; that one gets no answer.
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
  void begin(Slot &slot, LinkCallback callback);
  upstream::AnswerCallback answerTo(Slot &slot);

  LinkSettings Settings;
  std::vector<std::unique_ptr<Slot>> Slots;
  upstream::UpstreamConnection Status;
  upstream::UpstreamConnection Control;
};

} // namespace baobabpin::owner
