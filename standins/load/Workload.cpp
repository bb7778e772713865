#include "standins/load/Workload.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace standins::load {

using Shape = ClassMix::Shape;

namespace {

constexpr std::size_t Shelves = 12;
constexpr std::size_t KeysPerShelf = 5;
/// Stated ages are drawn evenly from this range.
constexpr std::chrono::milliseconds LeastAge{2000};
constexpr std::chrono::milliseconds GreatestAge{10000};

/// Whether the values of a class's keys are counters. Every other key holds
/// the last value that was put.
bool isCounted(const std::string &requestClass) {
  return requestClass == "checkout" || requestClass == "return" ||
         requestClass == "typing_return";
}

/// The classes of writes whose keys a class of reads looks at.
std::vector<std::string> classesRead(const Deployment &deployment) {
  std::vector<std::string> classes;
  for (const ClassMix &mix : deployment.Mix) {
    if (mix.What != Shape::Write)
      continue;
    classes.push_back(mix.Class);
  }
  return classes;
}

} // namespace

bool isRead(const Operation &operation) {
  return operation.What != Shape::Write && operation.What != Shape::Transaction;
}

Workload::Workload(Deployment deployment, std::uint64_t seed)
    : Profile(std::move(deployment)), Random(seed) {
  std::vector<double> weights;
  for (const ClassMix &mix : Profile.Mix)
    weights.push_back(mix.Weight);
  Mix = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

std::size_t Workload::drawIndex(std::size_t bound) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(Random);
}

bool Workload::drawChance(double share) {
  return std::bernoulli_distribution(share)(Random);
}

std::chrono::microseconds Workload::drawGap(double perSecond) {
  double seconds = std::exponential_distribution<double>(perSecond)(Random);
  return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

std::string
Workload::drawRequestId(std::chrono::system_clock::time_point wallNow) {
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      wallNow.time_since_epoch());
  std::array<char, 64> buf{};
  std::snprintf(buf.data(), buf.size(), "%lld-%016llx%016llx",
                static_cast<long long>(ms.count()),
                static_cast<unsigned long long>(Random()),
                static_cast<unsigned long long>(Random()));
  return buf.data();
}

/// "shelf:class:item"; a scan of "shelf:" then sees all classes of one shelf.
std::string Workload::drawKey(const std::string &requestClass) {
  return "shelf" + std::to_string(drawIndex(Shelves)) + ":" + requestClass +
         ":" + std::to_string(drawIndex(KeysPerShelf));
}

std::string Workload::drawWrite(const std::string &session,
                                const std::string &key) {
  std::string requestClass = key.substr(key.find(':') + 1);
  requestClass.resize(requestClass.find(':'));
  if (isCounted(requestClass))
    return "ADD " + key + " 1";
  // The key within the value shows an answer that belongs to another key.
  return "PUT " + key + " " + key + "@" + session + "-" +
         std::to_string(++Values);
}

Operation Workload::drawReadBack(const WrittenKey &lastWrite) {
  // The first class of a deployment reads.
  return {.What = Shape::ReadBack,
          .Class = Profile.Mix.front().Class,
          .Group = lastWrite.Group,
          .Key = lastWrite.Key,
          .Statements = {"GET " + lastWrite.Key}};
}

Operation Workload::draw(const std::string &session,
                         const std::optional<WrittenKey> &lastWrite,
                         std::chrono::system_clock::time_point wallNow) {
  const ClassMix &mix = Profile.Mix[Mix(Random)];
  Operation op{.What = mix.What, .Class = mix.Class};
  op.Group = Profile.Groups[drawIndex(Profile.Groups.size())];
  if (!isRead(op)) {
    op.Key = drawKey(mix.Class);
    op.Statements.push_back(drawWrite(session, op.Key));
    op.RequestId = drawRequestId(wallNow);
    if (op.What == Shape::Transaction) {
      std::string other = drawKey(mix.Class);
      op.Statements.insert(op.Statements.begin(), "GET " + op.Key);
      op.Statements.push_back(drawWrite(session, other));
    }
    return op;
  }
  std::vector<std::string> classes = classesRead(Profile);
  op.Key = drawKey(classes[drawIndex(classes.size())]);
  if (op.What == Shape::ReadBack && lastWrite)
    return drawReadBack(*lastWrite);
  op.Statements.push_back("GET " + op.Key);
  if (op.What == Shape::ParallelReads)
    op.Statements.push_back("GET " + drawKey(classes.front()));
  bool isScan = op.What == Shape::AgeRead && drawChance(0.1);
  if (isScan)
    op.Statements.front() = "SCAN " + op.Key.substr(0, op.Key.find(':') + 1);
  op.WithSession = op.What != Shape::AgeRead;
  if (op.What == Shape::AgeRead || op.What == Shape::AgeAndSession) {
    auto span = static_cast<std::size_t>((GreatestAge - LeastAge).count());
    op.MaxAge = LeastAge + std::chrono::milliseconds(drawIndex(span + 1));
  }
  return op;
}

} // namespace standins::load
