/// Owns the event loop, the event log, the metrics and the services of a
/// process. It starts the services in order, stops them in reverse order, and
/// lets them look up each other by name.
///
/// \code
///   Kernel kernel("node-1");
///   kernel.add(std::make_unique<Membership>(settings));
///   kernel.startAll();
///   auto &members = kernel.find<Membership>("membership");
/// \endcode
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/kernel/EventLog.h"
#include "baobabpin/kernel/EventLoop.h"
#include "baobabpin/kernel/Metrics.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace baobabpin::kernel {

class Kernel;

/// A component of the process that the kernel starts and stops.
class Service {
public:
  virtual ~Service() = default;
  /// The name for find(), unique within a kernel.
  virtual std::string_view name() const = 0;
  /// Looks up other services and starts work. All services have been added by
  /// now, and those added earlier have started.
  virtual base::Result<void> start(Kernel &kernel) = 0;
  /// Stops work. Services that were added later have stopped by now.
  virtual void stop() = 0;
};

class Kernel {
public:
  /// \p process is the name of this process in the event log.
  explicit Kernel(std::string process);
  /// Stops all services and destroys them in reverse order.
  ~Kernel();

  EventLoop &loop() { return Loop; }
  EventLog &log() { return Log; }
  Metrics &metrics() { return ProcessMetrics; }

  /// Takes ownership of \p service. A second service of the same name is a
  /// programming error and ends the process.
  void add(std::unique_ptr<Service> service);
  /// Starts all services in the order in which they were added. If one fails,
  /// those that have started are stopped.
  base::Result<void> startAll();
  /// Stops the started services in reverse order.
  void stopAll();

  /// Returns the service \p name, which must be a T. If there is no such
  /// service, or it has another type, the process ends.
  template <typename T> T &find(std::string_view name) {
    auto *found = dynamic_cast<T *>(findService(name));
    if (!found)
      failLookup(name);
    return *found;
  }

private:
  Service *findService(std::string_view name);
  [[noreturn]] static void failLookup(std::string_view name);

  EventLoop Loop;
  EventLog Log;
  Metrics ProcessMetrics;
  std::vector<std::unique_ptr<Service>> Services;
  /// Number of services that have started; they are the first ones in Services.
  std::size_t StartedCount = 0;
};

} // namespace baobabpin::kernel
