/// The two deployments that the load driver can imitate.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace standins::load {

/// What one request class does and how often it is drawn.
struct ClassMix {
  enum class Shape {
    AgeRead,       ///< A read that states an age and no session.
    SessionRead,   ///< A read that relies on the session's position.
    AgeAndSession, ///< A read that states both.
    ReadBack,      ///< A read of the key that this session wrote last.
    ParallelReads, ///< Two session reads at once; their tokens are merged.
    Write,
    Transaction,
  };

  std::string Class;
  Shape What = Shape::AgeRead;
  double Weight = 0;
};

struct Deployment {
  std::string Name;
  std::string Customer;
  std::string Database;
  std::vector<std::string> Groups;
  /// One way between a caller and its entry node.
  std::chrono::microseconds ClientLatency{};
  std::vector<ClassMix> Mix;
};

/// "bukhan" or "lankapura"; empty for any other name.
std::optional<Deployment> findDeployment(std::string_view name);

} // namespace standins::load
