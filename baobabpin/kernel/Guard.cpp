#include "baobabpin/kernel/Guard.h"

#include <glog/logging.h>

#include <atomic>

namespace baobabpin::kernel {
namespace {

std::atomic<std::uint64_t> ErrorCount{0};
/// After the first ones, one in this many errors is logged.
constexpr std::uint64_t LoggedShare = 100;
constexpr std::uint64_t AlwaysLogged = 20;

} // namespace

void reportUnexpectedError(std::string_view where,
                           std::string_view what) noexcept {
  std::uint64_t n = ++ErrorCount;
  if (n <= AlwaysLogged || n % LoggedShare == 0)
    LOG(ERROR) << "event=unexpected_error where=" << where << " count=" << n
               << " error=\"" << what << "\"";
}

std::uint64_t unexpectedErrorCount() noexcept { return ErrorCount; }

} // namespace baobabpin::kernel
