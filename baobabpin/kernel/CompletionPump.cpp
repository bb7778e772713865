#include "baobabpin/kernel/CompletionPump.h"

namespace baobabpin::kernel {

CompletionPump::CompletionPump(EventLoop &loop,
                               std::unique_ptr<grpc::CompletionQueue> queue)
    : Loop(loop), Queue(std::move(queue)), Thread([this] { runQueue(); }) {}

CompletionPump::~CompletionPump() {
  *Alive = false;
  Queue->Shutdown();
  Thread.join();
}

void *CompletionPump::tag(Completion completion) {
  return new Completion(std::move(completion));
}

void CompletionPump::runQueue() {
  void *tag = nullptr;
  bool ok = false;
  while (Queue->Next(&tag, &ok)) {
    std::shared_ptr<Completion> completion(static_cast<Completion *>(tag));
    // No lock protects the flag, since only the loop's thread reads and writes
    // it.
    Loop.post([completion, ok, alive = Alive] {
      if (*alive)
        (*completion)(ok);
    });
  }
}

} // namespace baobabpin::kernel
