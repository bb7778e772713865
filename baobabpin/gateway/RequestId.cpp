#include "baobabpin/gateway/RequestId.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>

namespace baobabpin::gateway {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t RandomDigits = 32;
/// One hour below the 24 h for which upstream servers keep idempotency records.
constexpr auto MaxRequestIdAge = 23h;

std::string toHex(std::uint64_t value) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (auto it = text.rbegin(); it != text.rend(); ++it, value >>= 4)
    *it = Digits[value & 15];
  return text;
}

} // namespace

std::optional<ParsedRequestId> parseRequestId(const std::string &text) {
  auto dash = text.find('-');
  if (dash == std::string::npos || text.size() - dash - 1 != RandomDigits)
    return std::nullopt;
  std::int64_t ms = 0;
  const char *end = text.data() + dash;
  auto [ptr, ec] = std::from_chars(text.data(), end, ms);
  if (ec != std::errc() || ptr != end || ms < 0)
    return std::nullopt;
  bool isHex = std::all_of(
      text.begin() + static_cast<long>(dash) + 1, text.end(),
      [](unsigned char c) { return std::isxdigit(c) && !std::isupper(c); });
  if (!isHex)
    return std::nullopt;
  return ParsedRequestId{WallTime(std::chrono::milliseconds(ms))};
}

bool isExpired(const ParsedRequestId &id, WallTime now) {
  return now - id.CreatedAt > MaxRequestIdAge;
}

base::RequestId makeRequestId(WallTime now, std::mt19937_64 &random) {
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.time_since_epoch());
  return std::to_string(ms.count()) + "-" + toHex(random()) + toHex(random());
}

} // namespace baobabpin::gateway
