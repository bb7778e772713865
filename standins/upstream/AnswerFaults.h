/// How answers leave the server: the cost of a new connection and injected
/// faults. Decisions only; AnswerSender carries them out.
///
/// \code
///   Delivery d = decideDelivery(faults, now, {.Body = body, .IsStatement =
///                                             true});
/// \endcode
#pragma once

#include "baobabpin/base/Time.h"

#include <cstdint>
#include <string>

namespace standins::upstream {

struct AnswerFaults {
  /// No answer leaves before this time.
  baobabpin::base::TimePoint PausedUntil;
  /// The next LateCount statement answers are LateBy late.
  std::uint64_t LateCount = 0;
  baobabpin::base::Duration LateBy{};
  /// The next CrossCount statement answers are replaced by another one's.
  std::uint64_t CrossCount = 0;
  /// The next DropCount statement answers are lost after the effect; the
  /// connection breaks.
  std::uint64_t DropCount = 0;
  /// The last statement answer, to cross others with.
  std::string LastStatementBody;
};

struct OutgoingAnswer {
  std::string Body;
  /// Answers a statement or transaction call, not a control call.
  bool IsStatement = false;
  /// The first answer of a connection waits for the connection's cost.
  baobabpin::base::TimePoint NotBefore;
};

struct Delivery {
  /// Break the connection instead of answering.
  bool IsDropped = false;
  baobabpin::base::Duration Delay{};
  std::string Body;
};

/// Uses up the faults that it applies. A cross waits until there is another
/// answer to send.
Delivery decideDelivery(AnswerFaults &faults, baobabpin::base::TimePoint now,
                        OutgoingAnswer answer);

} // namespace standins::upstream
