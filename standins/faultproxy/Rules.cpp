#include "standins/faultproxy/Rules.h"

#include <algorithm>
#include <utility>

namespace standins::faultproxy {

namespace {

bool matches(const std::string &pattern, const std::string &text) {
  return pattern == "*" || pattern == text;
}

} // namespace

Effect effectFor(const std::vector<Rule> &rules, const std::string &link,
                 const std::string &source) {
  Effect effect{.Link = link, .Source = source};
  for (const auto &it : rules) {
    if (!matches(it.Link, link) || !matches(it.Source, source))
      continue;
    effect.Delay += it.Delay;
    effect.Jitter += it.Jitter;
    effect.DropsToTarget |= it.DropsToTarget;
    effect.DropsToSource |= it.DropsToSource;
    effect.ResetsOnHeal |= it.ResetsOnHeal;
    effect.Resets |= it.Resets;
    effect.Refuses |= it.Refuses;
  }
  return effect;
}

bool refusesAll(const std::vector<Rule> &rules, const std::string &link) {
  return std::ranges::any_of(rules, [&](const Rule &it) {
    return it.Refuses && it.Source == "*" && matches(it.Link, link);
  });
}

void push(DelayQueue &queue, TimePoint now, std::chrono::microseconds delay,
          Parcel parcel) {
  parcel.Due = now + delay;
  if (!queue.Parcels.empty())
    parcel.Due = std::max(parcel.Due, queue.Parcels.back().Due);
  queue.ByteCount += parcel.Bytes.size();
  queue.Parcels.push_back(std::move(parcel));
}

std::optional<Parcel> popDue(DelayQueue &queue, TimePoint now) {
  if (queue.Parcels.empty() || queue.Parcels.front().Due > now)
    return std::nullopt;
  Parcel parcel = std::move(queue.Parcels.front());
  queue.Parcels.pop_front();
  queue.ByteCount -= parcel.Bytes.size();
  return parcel;
}

} // namespace standins::faultproxy
