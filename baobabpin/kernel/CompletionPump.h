/// Moves gRPC completions to the event loop.
///
/// One thread blocks in the completion queue and posts each completion; the
/// callbacks run on the loop, so no code that takes decisions needs a lock.
///
/// \code
///   call->Finish(&reply, &status, pump.tag([&](bool ok) { ... }));
/// \endcode
#pragma once

#include "baobabpin/kernel/EventLoop.h"

#include <grpcpp/completion_queue.h>

#include <functional>
#include <memory>
#include <thread>

namespace baobabpin::kernel {

using Completion = std::function<void(bool ok)>;

class CompletionPump {
public:
  /// Takes a queue of either side; \p queue may be a ServerCompletionQueue.
  CompletionPump(EventLoop &loop, std::unique_ptr<grpc::CompletionQueue> queue);
  /// Shuts the queue down and joins the thread. Callbacks not yet posted to the
  /// loop by then are dropped.
  ~CompletionPump();
  CompletionPump(const CompletionPump &) = delete;
  CompletionPump &operator=(const CompletionPump &) = delete;

  grpc::CompletionQueue &queue() { return *Queue; }
  /// A tag for one operation; \p completion runs once, on the loop.
  void *tag(Completion completion);

private:
  void pump();

  EventLoop &Loop;
  std::unique_ptr<grpc::CompletionQueue> Queue;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::thread Thread;
};

} // namespace baobabpin::kernel
