/// Steps that the parts of the database share; not for its users.
#pragma once

#include "standins/upstream/Database.h"

namespace standins::upstream::internal {

Answer refuse(const Database &db, Problem problem, std::string message);
void note(Database &db, DatabaseEvent event);
TableView tableView(const Database &db);

/// Appends and applies an entry that has its position.
void appendEntry(Database &db, TimePoint now, LogEntry entry);
/// Appends an entry of the own term behind the log's end.
void appendOwn(Database &db, TimePoint now, LogEntry entry);

/// Refuses unless this server leads \p term and promised no higher one.
Answer checkLeads(const Database &db, TermNumber term);
Answer checkRequestId(const Database &db, TimePoint now, const RequestId &id);
/// The recorded answer of a request that ran before.
std::optional<Answer> replay(const Database &db, const RequestId &id);
std::chrono::milliseconds unixTime(const Database &db, TimePoint now);

Answer checkTransaction(const Database &db, const std::string &transaction,
                        std::uint64_t connection);
Answer runInTransaction(Database &db, TimePoint now, const ExecuteCall &call);
/// Rolls back every transaction; the server stops leading.
void rollbackAll(Database &db, TimePoint now);

} // namespace standins::upstream::internal
