/// The form of a value in a key=value log line, for EventLog and LineLog.
#pragma once

#include <string>
#include <string_view>

namespace baobabpin::kernel::internal {

/// Appends \p value to \p line. A value that is empty or has a blank, a quote,
/// an equals sign or a control character is quoted; its quotes and backslashes
/// are escaped, and its control characters become blanks.
void appendLogValue(std::string &line, std::string_view value);

} // namespace baobabpin::kernel::internal
