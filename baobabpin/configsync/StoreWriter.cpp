#include "baobabpin/configsync/StoreWriter.h"

namespace baobabpin::configsync {
namespace {

using store::StoreReply;

constexpr std::chrono::milliseconds ReadBackDelay{300};

} // namespace

StoreWriter::StoreWriter(kernel::EventLoop &loop, store::StoreClient &store)
    : Loop(loop), Store(store) {}

void StoreWriter::submit(StoreWrite write, Callback callback) {
  send(std::make_shared<Job>(Job{std::move(write), std::move(callback)}));
}

void StoreWriter::send(const JobPtr &job) {
  auto answered = [this, job](const StoreReply &reply) {
    proceed(job, afterWrite(job->Write, reply));
  };
  const StoreWrite &write = job->Write;
  if (write.Value)
    Store.put(write.Key, *write.Value, write.ExpectedRevision, {}, answered);
  else
    Store.erase(write.Key, write.ExpectedRevision, answered);
}

void StoreWriter::readBack(const JobPtr &job) {
  // A range states the store's revision even when the key does not exist.
  Store.range(job->Write.Key, [this, job](const StoreReply &reply) {
    proceed(job, afterReadBack(job->Write, reply));
  });
}

void StoreWriter::readBackLater(const JobPtr &job) {
  Delayed[job] = Loop.runAfter(ReadBackDelay, [this, job] {
    Delayed.erase(job);
    readBack(job);
  });
}

void StoreWriter::proceed(const JobPtr &job, const WriteDecision &decision) {
  switch (decision.Step) {
  case WriteStep::ReadBack:
    readBack(job);
    return;
  case WriteStep::ReadBackLater:
    readBackLater(job);
    return;
  case WriteStep::Write:
    send(job);
    return;
  case WriteStep::Done:
    break;
  }
  job->Done(job->Write, decision.Result);
}

} // namespace baobabpin::configsync
