/// Makes a planned handover of a primary happen once for the fleet, although
/// the group's owner may change: the claim and its completion are kept in the
/// platform's store.
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

/// A PlannedStop of kind primary, at one store revision: declaring it again
/// makes another handover.
struct HandoverId {
  std::string Name;
  std::uint64_t Revision = 0;

  auto operator<=>(const HandoverId &) const = default;
};

/// What the store holds under "handovers/<name>".
struct HandoverRecord {
  std::uint64_t Revision = 0;
  std::string Claimant;
  bool Done = false;
};

enum class ClaimStep {
  Write, ///< Claim it, or take it over.
  Start, ///< This node has claimed it already.
  Wait,  ///< Another node is at work.
  Skip,  ///< Done, or declared again meanwhile.
};

/// \p held is empty when there is no record; \p claimantAlive tells about its
/// claimant.
ClaimStep chooseClaimStep(const std::optional<HandoverRecord> &held,
                          const HandoverId &wanted, const std::string &self,
                          bool claimantAlive);

std::string encodeHandover(const HandoverRecord &record);
/// Empty for a value of another form.
std::optional<HandoverRecord> decodeHandover(const std::string &value);

class HandoverClaims {
public:
  using IsAlive = std::function<bool(const std::string &node)>;

  explicit HandoverClaims(store::StoreClient &store);

  /// Reads the record and claims it when it may; \p start is called at most
  /// once for each handover. To be repeated until isSettled(), because the
  /// store may be away and a claimant may die.
  void request(const HandoverId &id, const std::string &self,
               const IsAlive &isAlive, const std::function<void()> &start);
  /// Records that the handover was made; to be repeated until isSettled().
  void complete(const HandoverId &id, const std::string &self);

  bool isStarted(const HandoverId &id) const;
  /// Nothing is left to do for this node.
  bool isSettled(const HandoverId &id) const;
  /// Forgets handovers other than \p ids.
  template <typename Ids> void keepOnly(const Ids &ids) {
    std::erase_if(Progress,
                  [&](const auto &it) { return !ids.contains(it.first); });
  }

private:
  struct Entry {
    bool Calling = false;
    bool Started = false;
    bool Settled = false;
    std::uint64_t StoreRevision = 0;
  };

  Entry *find(const HandoverId &id);
  void write(const HandoverId &id, const HandoverRecord &record,
             std::uint64_t expected, std::function<void(Entry &)> onWritten);

  store::StoreClient &Store;
  std::map<HandoverId, Entry> Progress;
};

} // namespace baobabpin::owner
