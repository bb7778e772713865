#include "baobabpin/configsync/ConfigCopy.h"

#include "baobabpin/base/Hash.h"

#include <algorithm>
#include <set>

namespace baobabpin::configsync {
namespace {

enum class Source { Store, Peer };

/// A key that is missing in a copy that is complete beyond the record was
/// deleted; a peer that missed the deletion must not bring it back.
bool isResurrection(const ConfigCopy &copy, const ConfigRecord &record) {
  return record.Revision <= copy.CompleteRevision;
}

void applyRecord(ConfigCopy &copy, const ConfigRecord &record, Source source,
                 AppliedRecords &applied) {
  auto held = copy.Records.find(record.Key);
  bool isHeld = held != copy.Records.end();
  if (isHeld && held->second.Revision >= record.Revision)
    return;
  if (!isHeld && source == Source::Peer && isResurrection(copy, record))
    return;
  copy.Records[record.Key] = record;
  ++copy.Changes;
  applied.push_back(record);
}

ConfigRecord decode(const proto::ResourceRecord &in) {
  ConfigRecord record{in.key(), in.revision(), std::nullopt};
  if (!in.deleted())
    record.Value = in.value();
  return record;
}

proto::ResourceRecord encode(const ConfigRecord &record) {
  proto::ResourceRecord out;
  out.set_key(record.Key);
  out.set_revision(record.Revision);
  out.set_deleted(!record.Value);
  if (record.Value)
    out.set_value(*record.Value);
  return out;
}

/// Adds records until the reply is full.
void addRecords(const std::vector<ConfigRecord> &records, std::size_t maxBytes,
                proto::SyncReply &reply) {
  std::size_t bytes = 0;
  for (const auto &it : records) {
    proto::ResourceRecord encoded = encode(it);
    bytes += encoded.ByteSizeLong();
    // At least one record makes progress, whatever its size.
    if (bytes > maxBytes && reply.records_size() > 0) {
      reply.set_full_needed(true);
      return;
    }
    *reply.add_records() = std::move(encoded);
  }
}

std::vector<ConfigRecord> recordsSince(const ConfigCopy &copy,
                                       std::uint64_t revision) {
  std::vector<ConfigRecord> records;
  for (const auto &[key, record] : copy.Records) {
    if (record.Revision > revision)
      records.push_back(record);
  }
  return records;
}

std::vector<ConfigRecord> recordsBeyond(const ConfigCopy &copy,
                                        const proto::SyncRequest &request) {
  std::map<std::string, std::uint64_t> held;
  for (const auto &it : request.held())
    held[it.key()] = it.revision();
  std::vector<ConfigRecord> records;
  for (const auto &[key, revision] : held) {
    bool deletedHere =
        !copy.Records.contains(key) && revision <= copy.CompleteRevision;
    if (deletedHere)
      records.push_back({key, copy.CompleteRevision, std::nullopt});
  }
  for (const auto &[key, record] : copy.Records) {
    auto it = held.find(key);
    if (it == held.end() || it->second < record.Revision)
      records.push_back(record);
  }
  return records;
}

} // namespace

AppliedRecords applyRecords(ConfigCopy &copy,
                            const std::vector<ConfigRecord> &records) {
  AppliedRecords applied;
  for (const auto &it : records)
    applyRecord(copy, it, Source::Peer, applied);
  return applied;
}

AppliedRecords applyChanges(ConfigCopy &copy,
                            const std::vector<ConfigRecord> &records,
                            std::uint64_t revision) {
  AppliedRecords applied = applyRecords(copy, records);
  copy.CompleteRevision = std::max(copy.CompleteRevision, revision);
  return applied;
}

AppliedRecords applySnapshot(ConfigCopy &copy,
                             const std::vector<ConfigRecord> &records,
                             std::uint64_t revision) {
  if (revision < copy.CompleteRevision)
    return applyRecords(copy, records);
  AppliedRecords applied;
  std::set<std::string> existing;
  for (const auto &it : records) {
    existing.insert(it.Key);
    applyRecord(copy, it, Source::Store, applied);
  }
  for (auto &[key, record] : copy.Records) {
    if (!record.Value || record.Revision > revision || existing.contains(key))
      continue;
    record = {key, revision, std::nullopt};
    ++copy.Changes;
    applied.push_back(record);
  }
  if (revision > copy.CompleteRevision)
    copy.DeletionsKnownAfter = revision;
  copy.CompleteRevision = revision;
  return applied;
}

std::uint64_t digestHash(const ConfigCopy &copy) {
  // Tombstones are left out: a node that read a snapshot has none for what was
  // deleted before. The order of keys does not matter for exclusive or.
  std::uint64_t hash = 0;
  for (const auto &[key, record] : copy.Records) {
    if (record.Value && record.Revision <= copy.CompleteRevision)
      hash ^= base::hash64(key, record.Revision);
  }
  return hash;
}

PullKind choosePull(const ConfigCopy &copy, std::uint64_t ownHash,
                    std::uint64_t peerRevision, std::uint64_t peerHash) {
  if (peerRevision > copy.CompleteRevision)
    return PullKind::Difference;
  if (peerRevision == copy.CompleteRevision && peerHash != ownHash)
    return PullKind::Full;
  return PullKind::None;
}

Pull makePull(const ConfigCopy &copy, PullKind kind) {
  Pull pull{{}, copy.Changes};
  proto::SyncRequest &request = pull.Request;
  request.set_since_revision(copy.CompleteRevision);
  // Records that arrived before the first complete copy may be outdated.
  bool startsWithRecords = copy.CompleteRevision == 0 && !copy.Records.empty();
  request.set_full(kind == PullKind::Full || startsWithRecords);
  if (!request.full())
    return pull;
  for (const auto &[key, record] : copy.Records) {
    auto *held = request.add_held();
    held->set_key(key);
    held->set_revision(record.Revision);
  }
  return pull;
}

proto::SyncReply answerSync(const ConfigCopy &copy,
                            const proto::SyncRequest &request,
                            std::size_t maxBytes) {
  proto::SyncReply reply;
  reply.set_highest_revision(copy.CompleteRevision);
  reply.set_deletions_known_after(copy.DeletionsKnownAfter);
  std::uint64_t since = request.since_revision();
  if (request.full()) {
    addRecords(recordsBeyond(copy, request), maxBytes, reply);
    return reply;
  }
  // A node that has nothing yet has missed no deletion.
  bool missesDeletions = since != 0 && since < copy.DeletionsKnownAfter;
  if (missesDeletions) {
    reply.set_full_needed(true);
    return reply;
  }
  addRecords(recordsSince(copy, since), maxBytes, reply);
  return reply;
}

AppliedRecords mergeSync(ConfigCopy &copy, const Pull &pull,
                         const proto::SyncReply &reply) {
  // A record that arrived during the pull may have been deleted before the
  // reply was made, without a tombstone in it.
  std::uint64_t since = pull.Request.since_revision();
  bool namesAllDeletions =
      copy.Changes == pull.Changes || reply.deletions_known_after() <= since;
  std::vector<ConfigRecord> records;
  for (const auto &it : reply.records())
    records.push_back(decode(it));
  AppliedRecords applied = applyRecords(copy, records);
  if (reply.full_needed() || !namesAllDeletions ||
      reply.highest_revision() <= copy.CompleteRevision)
    return applied;
  // Otherwise both know the deletions of adjoining ranges of revisions.
  if (copy.CompleteRevision < reply.deletions_known_after())
    copy.DeletionsKnownAfter = reply.deletions_known_after();
  copy.CompleteRevision = reply.highest_revision();
  return applied;
}

} // namespace baobabpin::configsync
