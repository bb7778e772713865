/// Draws the operations of the simulated callers. Pure: the same seed gives the
/// same operations.
///
/// \code
///   Workload workload(*findDeployment("bukhan"), seed);
///   Operation op = workload.draw("s17", lastWrite);
/// \endcode
#pragma once

#include "standins/load/Deployment.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace standins::load {

/// The group and key of a session's last write.
struct WrittenKey {
  std::string Group;
  std::string Key;
};

/// One thing that a caller wants done; it may take several requests.
struct Operation {
  ClassMix::Shape What = ClassMix::Shape::AgeRead;
  std::string Class;
  std::string Group;
  std::string Key;
  /// One for a read or write, one per parallel read, all of a transaction.
  std::vector<std::string> Statements;
  std::optional<std::chrono::milliseconds> MaxAge;
  bool WithSession = true;
  std::string RequestId; ///< Of a write or a transaction's commit.
};

bool isRead(const Operation &operation);

class Workload {
public:
  Workload(Deployment deployment, std::uint64_t seed);

  const Deployment &deployment() const { return Profile; }
  /// Time until the next arrival at \p perSecond arrivals on average, drawn
  /// from the exponential distribution.
  std::chrono::microseconds drawGap(double perSecond);
  Operation draw(const std::string &session,
                 const std::optional<WrittenKey> &lastWrite,
                 std::chrono::system_clock::time_point wallNow);
  /// A read of the key that the session wrote last.
  Operation drawReadBack(const WrittenKey &lastWrite);
  /// A number below \p bound.
  std::size_t drawIndex(std::size_t bound);
  /// True with probability \p share.
  bool drawChance(double share);
  /// "<unix ms>-<32 hex digits>".
  std::string drawRequestId(std::chrono::system_clock::time_point wallNow);

private:
  std::string drawKey(const std::string &requestClass);
  std::string drawWrite(const std::string &session, const std::string &key);

  Deployment Profile;
  std::mt19937_64 Random;
  std::discrete_distribution<std::size_t> Mix;
  std::uint64_t Values = 0;
};

} // namespace standins::load
