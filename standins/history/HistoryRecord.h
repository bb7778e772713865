/// One attempt of one request as its caller saw it; a line of the history
/// that the load driver writes and the checker reads.
///
/// \code
///   file << formatRecord(record) << '\n';
///   std::optional<HistoryRecord> record = parseRecord(line);
/// \endcode
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace standins::history {

/// CLOCK_MONOTONIC in microseconds, comparable between processes of one host.
using MonotonicUs = std::int64_t;

MonotonicUs monotonicNowUs();

struct HistoryRecord {
  MonotonicUs SentUs = 0;     ///< Before the client latency is added.
  MonotonicUs ReceivedUs = 0; ///< After the client latency is added.
  std::string Session;
  std::string Node; ///< Endpoint of the entry node.
  std::string Group;
  std::string Class;
  /// read, write, begin, commit or rollback.
  std::string Kind;
  std::string RequestId;
  std::string Statement;
  /// Caller's own number of the transaction; empty outside transactions.
  std::string Transaction;
  /// Stated age of a read; absent when it relies on its session only.
  std::optional<std::int64_t> MaxAgeMs;
  /// Whether a session token went along, so that the position counts.
  bool WithSession = false;
  bool Repeat = false;
  /// The caller discarded the answer on purpose and repeats the request.
  bool Dropped = false;

  /// HTTP transfer: completed, not_sent, broken or timed_out.
  std::string Transfer;
  /// answered, not_run, unknown or failed; empty unless completed.
  std::string Outcome;
  std::string Error;
  std::string Result;
  std::string Server;
  std::string Role;
  /// Request ID that the answer named.
  std::string AnsweredId;
  bool Replayed = false;
  std::optional<std::int64_t> AgeMs;

  bool operator==(const HistoryRecord &) const = default;
};

/// One line of JSON without the line end.
std::string formatRecord(const HistoryRecord &record);

/// The reverse; empty for a line that is not a record, such as the last one of
/// a driver that was interrupted.
std::optional<HistoryRecord> parseRecord(std::string_view line);

} // namespace standins::history
