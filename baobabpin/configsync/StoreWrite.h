/// Decisions of a compare-and-swap against the store when answers get lost.
///
/// Every value contains the writer's mark, a random ID, so that a value read
/// back equals the written one only if this very write took effect.
#pragma once

#include "baobabpin/store/StoreClient.h"

#include <cstdint>
#include <optional>
#include <string>

namespace baobabpin::configsync {

enum class WriteStatus {
  Committed,
  Conflict,    ///< Another writer was first; Revision holds the current one.
  Unavailable, ///< Not committed: the store was not reached.
  Unknown,     ///< The store went away before its answer could be read back.
};

struct WriteResult {
  WriteStatus Status = WriteStatus::Unavailable;
  /// Of the committed change, or the current one for a conflict.
  std::uint64_t Revision = 0;
  /// The current value for a conflict; empty if the key does not exist.
  std::optional<std::string> Current;
};

/// A write in progress.
struct StoreWrite {
  std::string Key;
  /// Empty: delete the key.
  std::optional<std::string> Value;
  std::uint64_t ExpectedRevision = 0;
  /// An earlier attempt may have taken effect.
  bool InDoubt = false;
  int FailedCalls = 0;
};

/// Calls that may fail in a row before a write in doubt is given up. With the
/// client's delays this is about 4 s.
inline constexpr int MaxFailedCalls = 6;

enum class WriteStep {
  Done,          ///< Result is final.
  ReadBack,      ///< Read the key now.
  ReadBackLater, ///< Read the key after a delay.
  Write,         ///< Send the same write again.
};

struct WriteDecision {
  WriteStep Step = WriteStep::Done;
  WriteResult Result = {};
};

/// After the answer to the write itself.
WriteDecision afterWrite(StoreWrite &write, const store::StoreReply &reply);

/// After a range read that begins with the key.
WriteDecision afterReadBack(StoreWrite &write, const store::StoreReply &reply);

} // namespace baobabpin::configsync
