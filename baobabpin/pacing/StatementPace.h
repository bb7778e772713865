/// How many statements one node may have in flight at a server, found from the
/// server's replies.
///
/// The limit starts at 1 and doubles with each round trip whose reply takes
/// about as long as it should. It is halved when the server is
/// overloaded, and starts again after a silence. Every step is taken on a
/// reply, on a failure or on the lack of a reply; no fixed period is involved.
///
/// The server works on Slots statements at a time, and the ceiling may be
/// higher, so some of the statements wait at the server by intention. The
/// latency that is due therefore grows with the number of statements in flight.
/// docs/design/server-pace.md names the alternatives.
///
/// \code
///   if (inFlight < pace.Limit)
///     send();
///   ...
///   recordReply(pace, {.SentAt = sentAt, .At = now, .Kind = "db write",
///                      .InFlight = inFlightWhenSent});
/// \endcode
#pragma once

#include "baobabpin/base/BootClock.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace baobabpin::pacing {

/// A server is overloaded when its replies take more than this many times as
/// long as they should.
inline constexpr double OverloadRatio = 2;

struct StatementPace {
  /// The statements that may be in flight now: at least 1, at most Ceiling.
  int Limit = 1;
  int Ceiling = 1;
  /// The statements that the server works on at the same time.
  int Slots = 1;
  /// Below this, the limit doubles with each round trip; from it on, it grows
  /// by one in each round.
  /// Halving the limit because of latency sets it.
  int SlowStartEnd = 1;
  /// Replies to statements that were sent earlier do not show the effect of the
  /// present limit.
  base::BootTime CountedFrom{};
  /// The latest doubling. The first reply to a statement sent after it ends
  /// the round trip.
  base::BootTime DoubledAt{};
  base::BootTime LastReply{};
  /// The latest latency that could be compared was not above OverloadRatio.
  bool LastWasGood = false;
  /// Moving average of the share of replies that are refusals.
  double RefusedShare = 0;
  /// For each kind of work, a low expectile of the latency in nanoseconds that
  /// it has when nothing waits at the server.
  std::map<std::string, double, std::less<>> Best;
  /// Moving average of Best over the kinds, as often as they occur: what the
  /// statements ahead of one in the server's queue cost.
  double Usual = 0;
  /// The replies of the present round, and the latencies of those that can be
  /// compared, as multiples of the due latency. A round has two replies for
  /// each statement that may be in flight.
  int RoundReplies = 0;
  std::vector<double> RoundRatios;
};

struct PaceReply {
  base::BootTime SentAt{};
  base::BootTime At{};
  /// Latencies are compared within a kind, because statements differ in cost.
  /// Empty if the latency says nothing about the load, for example because the
  /// statement waited for a log position.
  std::string_view Kind;
  /// The statements that occupied or awaited a slot when this one was sent,
  /// itself included.
  int InFlight = 1;
  /// The server refused the statement because its queue was full.
  bool Refused = false;
};

/// Sets the bounds of the limit. A limit above the new ceiling is lowered; a
/// higher ceiling is reached by growth.
void setCapacity(StatementPace &pace, int slots, int ceiling);

/// Starts again with a limit of 1 and forgets all latencies: the server is new,
/// has started again, or could not be reached.
void restart(StatementPace &pace, base::BootTime now);

void recordReply(StatementPace &pace, const PaceReply &reply);

/// Records an error that does not show the load. It ends a silence.
void recordError(StatementPace &pace, base::BootTime now);

/// Starts again if a statement that was sent at \p sentAt has no reply yet, the
/// server has not replied to any other statement since, and this has lasted for
/// much longer than the slowest kind of work takes.
void recordSilence(StatementPace &pace, base::BootTime sentAt,
                   base::BootTime now);

/// The same for a statement whose connection was lost, which is a silence
/// however short it was.
void recordLoss(StatementPace &pace, base::BootTime sentAt, base::BootTime now);

} // namespace baobabpin::pacing
