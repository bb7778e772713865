#include "baobabpin/control/RecordVerifier.h"

#include "baobabpin/control/GroupChanges.h"

#include <memory>
#include <utility>

namespace baobabpin::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds CollectionTime{5};
/// The round ends earlier as soon as a quorum has replied. In a large fleet the
/// replies take a while, because a connection to each node is opened first.
constexpr milliseconds ReplyTimeout{1000};

/// Returns what \p replies say about \p group.
std::vector<cluster::KnownRecord>
recordsOf(const std::vector<RecordsReply> &replies,
          const base::GroupName &group) {
  std::vector<cluster::KnownRecord> records;
  for (const auto &reply : replies) {
    auto it = reply.Groups.find(group);
    records.push_back(it == reply.Groups.end() ? cluster::KnownRecord{}
                                               : it->second);
  }
  return records;
}

} // namespace

struct RecordVerifier::Round {
  std::uint64_t Era = 0;
  std::set<base::GroupName> Groups;
  /// The replies of the nodes that were registered before the restore.
  std::vector<RecordsReply> Replies;
  std::size_t Outstanding = 0;
  /// The number of nodes, this one included, that have to remember a record.
  std::size_t Quorum = 0;
  bool Ended = false;
};

void RecordVerifier::add(const base::GroupName &group) {
  if (Due.empty())
    Loop.postAfter(CollectionTime, [this] { askNodes(); });
  Due.insert(group);
}

void RecordVerifier::askNodes() {
  auto round = std::make_shared<Round>();
  auto peers = Cluster.revocationPeers();
  round->Era = Cluster.view().Era;
  round->Groups = std::exchange(Due, {});
  round->Outstanding = peers.size();
  round->Quorum = cluster::confirmQuorum(peers.size() + 1);
  Asking = true;
  if (peers.empty()) {
    endRound(*round);
    return;
  }
  std::string body = encode(RecordsRequest{round->Era});
  for (const auto &peer : peers) {
    auto onReply = [this, round](const std::optional<std::string> &text) {
      auto reply = text ? decodeRecordsReply(*text) : std::nullopt;
      if (reply && reply->KnewEarlierEra)
        round->Replies.push_back(std::move(*reply));
      bool done = --round->Outstanding == 0 ||
                  round->Replies.size() + 1 >= round->Quorum;
      if (done && !std::exchange(round->Ended, true))
        endRound(*round);
    };
    Cluster.caller().call(peer.Endpoint, RecordsPath, body, ReplyTimeout,
                          onReply);
  }
}

void RecordVerifier::endRound(const Round &round) {
  Asking = false;
  const auto &view = Cluster.view();
  if (view.Era != round.Era)
    return;
  std::vector<base::GroupName> verified;
  for (const auto &group : round.Groups) {
    const cluster::GroupRecord &record = view.Groups.at(group).Value;
    if (cluster::isVerified(record, view.Era) ||
        cluster::isBeingVerified(record, view.Era))
      continue;
    auto others = recordsOf(round.Replies, group);
    bool latest = cluster::isLatestRecord(record, others, round.Quorum);
    Log.line("records_compared")
        .add("group", group)
        .add("primary", record.Primary)
        .add("epoch", static_cast<std::int64_t>(record.Epoch))
        .add("replies", static_cast<std::int64_t>(others.size()))
        .add("quorum", static_cast<std::int64_t>(round.Quorum))
        .add("latest", latest ? "yes" : "no");
    if (latest)
      verified.push_back(group);
    else
      OnDoubt(group);
  }
  if (!verified.empty())
    write(verified, round.Era);
}

void RecordVerifier::write(const std::vector<base::GroupName> &groups,
                           std::uint64_t era) {
  GroupChanges changes;
  for (const auto &group : groups) {
    // The others are added again, because they are still not verified.
    if (isFull(changes))
      break;
    const auto &known = Cluster.view().Groups.at(group);
    cluster::GroupRecord record = known.Value;
    record.Epoch = cluster::firstNumberOf(era) + 1;
    addGroup(changes, group, record, known.Revision);
  }
  Writing = true;
  Cluster.change(changes.Keys,
                 [this, names = changes.Names](const store::StoreReply &reply) {
                   Writing = false;
                   Log.line("primaries_verified")
                       .add("groups", names)
                       .add("result", store::storeStatusName(reply.Status));
                 });
}

} // namespace baobabpin::control
