/// Carries out the decisions of StoreWrite.h against the store.
#pragma once

#include "baobabpin/configsync/StoreWrite.h"
#include "baobabpin/kernel/EventLoop.h"

#include <functional>
#include <map>
#include <memory>

namespace baobabpin::configsync {

class StoreWriter {
public:
  using Callback = std::function<void(const StoreWrite &, const WriteResult &)>;

  /// \p store must outlive this object.
  StoreWriter(kernel::EventLoop &loop, store::StoreClient &store);

  /// The callback runs once, later, on the loop, unless the store's client is
  /// destroyed before.
  void submit(StoreWrite write, Callback callback);

private:
  struct Job {
    StoreWrite Write;
    Callback Done;
  };
  using JobPtr = std::shared_ptr<Job>;

  void send(const JobPtr &job);
  void readBack(const JobPtr &job);
  void readBackLater(const JobPtr &job);
  void proceed(const JobPtr &job, const WriteDecision &decision);

  kernel::EventLoop &Loop;
  store::StoreClient &Store;
  std::map<JobPtr, kernel::Timer> Delayed;
};

} // namespace baobabpin::configsync
