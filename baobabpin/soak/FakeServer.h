/// One upstream server of the randomised run: the stand-in's database with
/// asynchronous replication, waiting status requests and restarts.
#pragma once

#include "baobabpin/replication/ServerReport.h"
#include "baobabpin/soak/Checker.h"
#include "baobabpin/soak/Safeguards.h"
#include "baobabpin/soak/Simulation.h"
#include "standins/upstream/Replication.h"

#include <functional>
#include <vector>

namespace baobabpin::soak {

struct WaitingStatus {
  base::LogPosition Wanted;
  std::uint64_t Ticket = 0;
  std::function<void(replication::ServerReport)> Answer;
};

struct FakeServer {
  Process Proc;
  Database Db;
  std::vector<WaitingStatus> Waiting;
  std::uint64_t NextTicket = 0;
  /// Extra delay before a batch is applied.
  Duration Lag{};
  std::uint64_t Truncations = 0;
};

/// What the servers share.
struct ServerFleet {
  Simulation *Sim = nullptr;
  Checker *Check = nullptr;
  Safeguard Disabled = Safeguard::None;
  /// Stable addresses: tasks refer to the servers.
  std::deque<FakeServer> Servers;
};

FakeServer *findServer(ServerFleet &fleet, const std::string &id);

/// Starts the server's pull replication; call again after a restart.
void startReplication(ServerFleet &fleet, FakeServer &server);
void restartServer(ServerFleet &fleet, FakeServer &server);
void crashServer(FakeServer &server);

/// The calls of design section 5.2, on the server.
void serveStatus(ServerFleet &fleet, FakeServer &server,
                 base::LogPosition wanted, Duration wait,
                 std::function<void(replication::ServerReport)> answer);
replication::PrepareAnswer servePrepare(ServerFleet &fleet, FakeServer &server,
                                        base::TermNumber term,
                                        const std::string &candidate);
replication::PromoteAnswer servePromote(ServerFleet &fleet, FakeServer &server,
                                        base::TermNumber term,
                                        const std::string &candidate);
void serveFollow(ServerFleet &fleet, FakeServer &server, base::TermNumber term,
                 const std::string &primary);
standins::upstream::Answer serveExecute(ServerFleet &fleet, FakeServer &server,
                                        standins::upstream::ExecuteCall call);

} // namespace baobabpin::soak
