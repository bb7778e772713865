/// Keeps an unexpected exception from ending the process.
///
/// A callback of the event loop must not throw, because libevent is written in
/// C. Each place that calls a handler for bytes from outside therefore runs it
/// under runGuarded() and closes the connection that the bytes came from.
///
/// \code
///   if (!runGuarded("http_handler", [&] { handler(request); }))
///     closeConnection();
/// \endcode
#pragma once

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

namespace baobabpin::kernel {

/// Logs an exception that reached \p where and counts it.
void reportUnexpectedError(std::string_view where,
                           std::string_view what) noexcept;

/// Returns the number of exceptions reported since the start of the process.
std::uint64_t unexpectedErrorCount() noexcept;

/// Calls \p callback. Returns false if it has thrown.
template <typename Callback>
bool runGuarded(std::string_view where, Callback &&callback) noexcept {
  try {
    std::forward<Callback>(callback)();
    return true;
  } catch (const std::exception &error) {
    reportUnexpectedError(where, error.what());
  } catch (...) {
    reportUnexpectedError(where, "not a std::exception");
  }
  return false;
}

} // namespace baobabpin::kernel
