/// Runs the callbacks of gRPC completions on the event loop.
///
/// A thread waits on the completion queue and posts each completion to the
/// event loop. All callbacks run on the loop's thread, so code that uses gRPC
/// needs no locks.
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
  /// Takes ownership of \p queue, the queue of a client or a
  /// ServerCompletionQueue, and starts the thread.
  CompletionPump(EventLoop &loop, std::unique_ptr<grpc::CompletionQueue> queue);
  /// Shuts the queue down and joins the thread. Callbacks that have not run by
  /// then are dropped. Must be called on the loop's thread.
  ~CompletionPump();
  CompletionPump(const CompletionPump &) = delete;
  CompletionPump &operator=(const CompletionPump &) = delete;

  grpc::CompletionQueue &queue() { return *Queue; }
  /// Returns the tag to pass to one gRPC operation. \p completion is called
  /// once on the loop's thread when the operation ends.
  void *tag(Completion completion);

private:
  /// Posts completions to the loop until the queue has shut down.
  void runQueue();

  EventLoop &Loop;
  std::unique_ptr<grpc::CompletionQueue> Queue;
  /// False once this object is being destroyed; shared with the posted
  /// callbacks.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::thread Thread;
};

} // namespace baobabpin::kernel
