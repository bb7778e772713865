/// The micro-kernel: owns the event loop and the services of a process, starts
/// them in order, stops them in reverse, and lets them find each other by name.
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

/// A part of the process that the kernel starts and stops.
class Service {
public:
  virtual ~Service() = default;
  /// The name by which other services find this one; unique in a kernel.
  virtual std::string_view name() const = 0;
  /// Finds other services and begins work. All services exist by now, those
  /// added earlier have started.
  virtual base::Result<void> start(Kernel &kernel) = 0;
  /// Ends work; later-added services have stopped by now.
  virtual void stop() = 0;
};

class Kernel {
public:
  explicit Kernel(std::string process);
  ~Kernel();

  EventLoop &loop() { return Loop; }
  EventLog &log() { return Log; }
  Metrics &metrics() { return ProcessMetrics; }

  /// Takes ownership. A second service of the same name ends the process: it is
  /// a fault of the program.
  void add(std::unique_ptr<Service> service);
  /// Starts all services in the order of add(); on failure those that had
  /// started are stopped again.
  base::Result<void> startAll();
  void stopAll();

  /// The service \p name as a T; a missing service or a wrong type ends the
  /// process.
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
  std::size_t Started = 0;
};

} // namespace baobabpin::kernel
