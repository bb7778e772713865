/// The parts of one randomised run and what drives them.
#pragma once

#include "baobabpin/soak/Soak.h"

namespace baobabpin::soak {

/// A caller with one session. It sends one request after the other, and now and
/// then a repeat that overlaps the first attempt.
struct Caller {
  Process Proc;
  unsigned Session = 0;
  base::LogPosition Token;
  bool HasToken = false;
  /// Position of its latest acknowledged write, to restart a lost session.
  base::LogPosition LastAcked;
  /// A request whose outcome is unknown.
  std::string Unresolved;
  std::uint64_t NextRequest = 1;
};

struct World {
  SoakOptions Options;
  Simulation Sim;
  Checker Check;
  ServerFleet Fleet;
  NodeContext Context;
  std::deque<OwnerNode> Nodes;
  std::deque<Caller> Callers;
  AttemptId NextAttempt = 1;
  TimePoint FaultEnd;
  bool CallersStopped = false;
  bool StoreDown = false;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  /// Answered writes that their callers began after the faults.
  std::uint64_t AckedAfterFaults = 0;
  base::LogPosition LastAck;
  std::map<std::string, std::uint64_t> FaultCounts;
};

/// Callers.cpp
void startCaller(World &world, Caller &caller);
/// The node that a caller with an up-to-date list would choose.
OwnerNode *preferredNode(World &world);

/// Members.cpp: refreshes the node's delayed view of its fellow members.
void startMembership(World &world, OwnerNode &node);

/// Faults.cpp
void startFaults(World &world);
void healAll(World &world);

} // namespace baobabpin::soak
