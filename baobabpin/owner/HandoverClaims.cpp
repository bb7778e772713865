#include "baobabpin/owner/HandoverClaims.h"

#include <nlohmann/json.hpp>

namespace baobabpin::owner {

using nlohmann::json;
using store::StoreReply;
using store::StoreStatus;

namespace {

std::string keyOf(const HandoverId &id) { return "handovers/" + id.Name; }

} // namespace

ClaimStep chooseClaimStep(const std::optional<HandoverRecord> &stored,
                          const HandoverId &wanted, const std::string &self,
                          bool claimantAlive) {
  if (!stored || stored->Revision < wanted.Revision)
    return ClaimStep::Write;
  if (stored->Revision > wanted.Revision || stored->Done)
    return ClaimStep::Skip;
  if (stored->Claimant == self)
    return ClaimStep::Start;
  return claimantAlive ? ClaimStep::Wait : ClaimStep::Write;
}

std::string encodeHandover(const HandoverRecord &record) {
  return json{{"revision", record.Revision},
              {"claimant", record.Claimant},
              {"done", record.Done}}
      .dump();
}

std::optional<HandoverRecord> decodeHandover(const std::string &value) {
  json parsed = json::parse(value, nullptr, false);
  if (!parsed.is_object())
    return std::nullopt;
  try {
    return HandoverRecord{parsed.at("revision").get<std::uint64_t>(),
                          parsed.at("claimant").get<std::string>(),
                          parsed.at("done").get<bool>()};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

HandoverClaims::HandoverClaims(store::StoreClient &store) : Store(store) {}

HandoverClaims::Entry *HandoverClaims::find(const HandoverId &id) {
  auto it = Progress.find(id);
  return it == Progress.end() ? nullptr : &it->second;
}

bool HandoverClaims::isStarted(const HandoverId &id) const {
  auto it = Progress.find(id);
  return it != Progress.end() && it->second.Started;
}

bool HandoverClaims::isFinished(const HandoverId &id) const {
  auto it = Progress.find(id);
  return it != Progress.end() && it->second.Finished;
}

void HandoverClaims::write(const HandoverId &id, const HandoverRecord &record,
                           std::uint64_t expected,
                           std::function<void(Entry &)> onWritten) {
  Store.put(
      keyOf(id), encodeHandover(record), expected, {},
      [this, id, onWritten = std::move(onWritten)](const StoreReply &reply) {
        Entry *entry = find(id);
        if (!entry)
          return;
        entry->CallInFlight = false;
        // The write may have succeeded although its answer was lost. For a
        // claim, the next call of request() reads the record and detects that;
        // complete() does not read the record.
        if (reply.Status != StoreStatus::Ok)
          return;
        entry->StoreRevision = reply.Revision;
        onWritten(*entry);
      });
}

void HandoverClaims::request(const HandoverId &id, const std::string &self,
                             const IsAlive &isAlive,
                             const std::function<void()> &start) {
  Entry &entry = Progress[id];
  if (entry.CallInFlight || entry.Started || entry.Finished)
    return;
  entry.CallInFlight = true;
  auto begin = [start](Entry &it) {
    it.Started = true;
    start();
  };
  Store.get(
      keyOf(id), [this, id, self, isAlive, begin](const StoreReply &reply) {
        Entry *it = find(id);
        if (!it)
          return;
        it->CallInFlight = false;
        bool known = reply.Status == StoreStatus::Ok && !reply.Entries.empty();
        if (!known && reply.Status != StoreStatus::NotFound)
          return;
        std::optional<HandoverRecord> stored;
        std::uint64_t revision = 0;
        if (known) {
          stored = decodeHandover(reply.Entries.front().Value);
          revision = reply.Entries.front().Revision;
        }
        bool alive = stored && isAlive(stored->Claimant);
        switch (chooseClaimStep(stored, id, self, alive)) {
        case ClaimStep::Write:
          it->CallInFlight = true;
          write(id, {id.Revision, self, false}, revision, begin);
          return;
        case ClaimStep::Start:
          it->StoreRevision = revision;
          begin(*it);
          return;
        case ClaimStep::Skip:
          it->Finished = true;
          return;
        case ClaimStep::Wait:
          return;
        }
      });
}

void HandoverClaims::complete(const HandoverId &id, const std::string &self) {
  Entry *entry = find(id);
  if (!entry || entry->CallInFlight || entry->Finished)
    return;
  entry->CallInFlight = true;
  write(id, {id.Revision, self, true}, entry->StoreRevision,
        [](Entry &it) { it.Finished = true; });
}

} // namespace baobabpin::owner
