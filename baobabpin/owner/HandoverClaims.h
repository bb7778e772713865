/// Makes sure that only one node at a time carries out a planned handover of a
/// primary and that a finished handover is not made again, although the group's
/// owner may change: the platform's store records the claim and its completion.
///
/// \code
///   claims.request({"move-0", 17}, self, isAlive, [&] { startHandover(); });
///   claims.complete({"move-0", 17}, self);
/// \endcode
#pragma once

#include "baobabpin/store/StoreClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace baobabpin::owner {

/// Identifies a handover: a PlannedStop resource whose target is a primary, at
/// one store revision. Declaring the resource again requests another handover.
struct HandoverId {
  std::string Name;
  std::uint64_t Revision = 0;

  auto operator<=>(const HandoverId &) const = default;
};

/// The record that the store holds under the key "handovers/<name>".
struct HandoverRecord {
  std::uint64_t Revision = 0;
  std::string Claimant;
  bool Done = false;
};

/// What a node does next about a handover that it may claim.
enum class ClaimStep {
  Write, ///< Write a claim for this node.
  Start, ///< Start the handover: this node has claimed it already.
  Wait,  ///< Wait for the live node that has claimed the handover.
  Skip,  ///< Do nothing: the handover is done or was declared again meanwhile.
};

/// Chooses the step for the handover \p wanted. \p stored is the record in the
/// store, empty when there is none; \p claimantAlive tells whether its claimant
/// is a live member.
ClaimStep chooseClaimStep(const std::optional<HandoverRecord> &stored,
                          const HandoverId &wanted, const std::string &self,
                          bool claimantAlive);

std::string encodeHandover(const HandoverRecord &record);
/// Returns nothing when \p value is not a valid record.
std::optional<HandoverRecord> decodeHandover(const std::string &value);

class HandoverClaims {
public:
  using IsAlive = std::function<bool(const std::string &node)>;

  explicit HandoverClaims(store::StoreClient &store);

  /// Reads the stored record and claims the handover when chooseClaimStep()
  /// allows it; calls \p start at most once for each handover. Callers repeat
  /// this until isStarted() or isFinished(), because the store may be
  /// unavailable and another claimant may die.
  void request(const HandoverId &id, const std::string &self,
               const IsAlive &isAlive, const std::function<void()> &start);
  /// Records that the handover is done. Callers repeat this until isFinished().
  void complete(const HandoverId &id, const std::string &self);

  bool isStarted(const HandoverId &id) const;
  /// Whether this node has nothing left to do for the handover.
  bool isFinished(const HandoverId &id) const;
  /// Forgets all handovers except \p ids.
  template <typename Ids> void keepOnly(const Ids &ids) {
    std::erase_if(Progress,
                  [&](const auto &it) { return !ids.contains(it.first); });
  }

private:
  struct Entry {
    /// A call of the store has no answer yet.
    bool CallInFlight = false;
    bool Started = false;
    bool Finished = false;
    /// Revision of the record in the store, expected by the next write.
    std::uint64_t StoreRevision = 0;
  };

  Entry *find(const HandoverId &id);
  void write(const HandoverId &id, const HandoverRecord &record,
             std::uint64_t expected, std::function<void(Entry &)> onWritten);

  store::StoreClient &Store;
  std::map<HandoverId, Entry> Progress;
};

} // namespace baobabpin::owner
