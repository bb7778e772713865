/// What the proxy does to traffic. All rules that match add up, so that a
/// latency for every link and the partition of one can be stated separately.
///
/// \code
///   Effect effect = effectFor(rules, "node-1-to-a", "127.0.0.1");
/// \endcode
#pragma once

#include "baobabpin/base/Time.h"

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace standins::faultproxy {

using baobabpin::base::TimePoint;

struct Rule {
  /// "*" matches every link.
  std::string Link = "*";
  /// "*" matches every source, otherwise an IP number.
  std::string Source = "*";
  std::chrono::microseconds Delay{0};
  /// Added to Delay, uniform from 0 on.
  std::chrono::microseconds Jitter{0};
  bool DropsToTarget = false;
  bool DropsToSource = false;
  /// When the drop ends, connections with held bytes break.
  bool ResetsOnHeal = false;
  /// Breaks connections, also new ones.
  bool Resets = false;
  /// Refuses new connections.
  bool Refuses = false;
};

/// The sum of all rules for one link and source.
using Effect = Rule;

Effect effectFor(const std::vector<Rule> &rules, const std::string &link,
                 const std::string &source);

/// Whether no source may connect; the link then stops listening, so that
/// connecting fails as it does without a server.
bool refusesAll(const std::vector<Rule> &rules, const std::string &link);

/// What one side sent, on its way to the other.
struct Parcel {
  enum class Kind { Bytes, End, Reset };
  TimePoint Due;
  Kind What = Kind::Bytes;
  std::string Bytes;
};

/// Parcels of one direction of a connection, in order.
struct DelayQueue {
  std::deque<Parcel> Parcels;
  std::size_t ByteCount = 0;
};

/// Adds a parcel that is due \p delay after \p now, and not before those ahead
/// of it.
void push(DelayQueue &queue, TimePoint now, std::chrono::microseconds delay,
          Parcel parcel);
/// The first parcel, if it is due.
std::optional<Parcel> popDue(DelayQueue &queue, TimePoint now);

} // namespace standins::faultproxy
