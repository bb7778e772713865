/// One relayed TCP connection: two sockets and a delay queue for each
/// direction. The end of a stream travels through the queue like its bytes, so
/// a dropped direction hides it too.
#pragma once

#include "baobabpin/kernel/EventLoop.h"
#include "standins/faultproxy/Rules.h"
#include "standins/faultproxy/Sockets.h"

#include <functional>
#include <random>
#include <string>

namespace standins::faultproxy {

/// What a relay needs from its link.
struct RelayHost {
  baobabpin::kernel::EventLoop &Loop;
  std::mt19937_64 &Random;
  baobabpin::http::Endpoint Target;
  /// The target refused the connection.
  std::function<void()> TargetRefused;
};

class TcpRelay {
public:
  /// Takes over \p fd, a connection from \p source. \p finished is called once,
  /// at the end; the relay must then be destroyed later, not in the call.
  TcpRelay(RelayHost &host, evutil_socket_t fd, std::string source,
           const Effect &effect, std::function<void()> finished);
  ~TcpRelay();
  TcpRelay(const TcpRelay &) = delete;
  TcpRelay &operator=(const TcpRelay &) = delete;

  const std::string &source() const { return Source; }
  void applyRules(const Effect &effect);

private:
  struct Side {
    BufferPtr Buffer;
    /// A write to it failed; what follows is discarded.
    bool IsBroken = false;
    /// No more bytes come from it.
    bool HasEnded = false;
  };

  struct Direction {
    TcpRelay *Owner = nullptr;
    Side *From = nullptr;
    Side *To = nullptr;
    DelayQueue Queue;
    EventPtr Timer;
    bool IsHeld = false;
    /// The end was passed on; the socket is shut down once it is flushed.
    bool IsDone = false;
  };

  void initialize(Direction &direction, Side &from, Side &to);
  void attach(Side &side, bufferevent *buffer);
  void connectTarget();
  Direction &directionFrom(const Side &side);
  Direction &directionTo(const Side &side);
  Side &sideOf(const bufferevent *buffer);
  std::chrono::microseconds drawDelay();

  void onRead(Side &side);
  void onWritten(Side &side);
  void onEvent(Side &side, short what);
  void onTargetFailed();
  void enqueue(Direction &direction, Parcel parcel);
  void pump(Direction &direction);
  void deliver(Direction &direction, const Parcel &parcel);
  void armTimer(Direction &direction);
  void limitReading(Direction &direction);
  void finishIfDone();
  void finish(bool resets);

  RelayHost &Host;
  std::string Source;
  Effect Current;
  std::function<void()> Finished;
  bool IsFinished = false;
  bool IsConnected = false;
  Side SourceSide;
  Side TargetSide;
  Direction ToTarget;
  Direction ToSource;
};

} // namespace standins::faultproxy
