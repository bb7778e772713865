#include "baobabpin/configsync/StoreWrite.h"

namespace baobabpin::configsync {
namespace {

using store::StoreEntry;
using store::StoreReply;
using store::StoreStatus;

WriteDecision done(WriteStatus status, std::uint64_t revision = 0,
                   std::optional<std::string> current = std::nullopt) {
  return {WriteStep::Done, {status, revision, std::move(current)}};
}

WriteDecision afterFailure(StoreWrite &write) {
  ++write.FailedCalls;
  if (write.FailedCalls < MaxFailedCalls)
    return {WriteStep::ReadBackLater};
  return done(write.InDoubt ? WriteStatus::Unknown : WriteStatus::Unavailable);
}

const StoreEntry *findEntry(const StoreReply &reply, const std::string &key) {
  for (const auto &it : reply.Entries) {
    if (it.Key == key)
      return &it;
  }
  return nullptr;
}

WriteDecision afterReadOfMissing(const StoreWrite &write,
                                 const StoreReply &reply) {
  // The deletion is there, by this writer or by another: the result is the
  // same. The store's revision is at least that of the deletion.
  if (!write.Value && write.InDoubt)
    return done(WriteStatus::Committed, reply.Revision);
  if (write.Value && write.ExpectedRevision == 0)
    return {WriteStep::Write};
  return done(WriteStatus::Conflict);
}

} // namespace

WriteDecision afterWrite(StoreWrite &write, const StoreReply &reply) {
  switch (reply.Status) {
  case StoreStatus::Ok:
    return done(WriteStatus::Committed, reply.Revision);
  case StoreStatus::Conflict:
  case StoreStatus::NotFound:
    // The conflict may be with this write's own earlier attempt.
    return {WriteStep::ReadBack};
  case StoreStatus::Unavailable:
    if (!write.InDoubt)
      return done(WriteStatus::Unavailable);
    return afterFailure(write);
  default:
    break;
  }
  write.InDoubt = true;
  return afterFailure(write);
}

WriteDecision afterReadBack(StoreWrite &write, const StoreReply &reply) {
  if (reply.Status != StoreStatus::Ok)
    return afterFailure(write);
  const StoreEntry *entry = findEntry(reply, write.Key);
  if (!entry)
    return afterReadOfMissing(write, reply);
  if (write.InDoubt && write.Value == entry->Value)
    return done(WriteStatus::Committed, entry->Revision);
  // The request may still be on its way; the same write with the same
  // expectation takes effect once at most.
  if (entry->Revision == write.ExpectedRevision)
    return {WriteStep::Write};
  return done(WriteStatus::Conflict, entry->Revision, entry->Value);
}

} // namespace baobabpin::configsync
