#include "baobabpin/replication/GroupTestSupport.h"
#include "baobabpin/replication/Handover.h"
#include "baobabpin/replication/Promotion.h"

#include <doctest/doctest.h>

namespace baobabpin::replication {
namespace {

using namespace test;

TEST_CASE("a silent primary is replaced only when its replicas agree") {
  Group group;
  settle(group);
  noteRequest(group.State, group.Now);

  SUBCASE("replicas without contact: prepare goes to every server") {
    silencePrimary(group, 600ms, 500ms);
    CHECK(group.all<SendPrepare>().size() == 3);
    CHECK(group.all<PromotionStarted>().front().Term == 2);
  }
  SUBCASE("replicas in contact: this node is the one that is cut off") {
    silencePrimary(group, 1200ms, 20ms);
    CHECK(group.all<SendPrepare>().empty());
    REQUIRE(group.all<DeclareUnfit>().size() == 1);
    CHECK(group.all<DeclareUnfit>().front().Reason ==
          UnfitReason::PrimaryHeardByReplicas);
  }
  SUBCASE("the last resort promotes despite that contact") {
    group.State.LastResort = true;
    silencePrimary(group, 600ms, 20ms);
    CHECK(group.all<SendPrepare>().size() == 3);
  }
  SUBCASE("two refused connections need no waiting") {
    for (const auto *it : {"b", "c"}) {
      auto silent = report(it, 1, 10);
      silent.PrimaryContact = 300ms;
      group.answer(silent);
    }
    for (int n = 0; n < 2; ++n)
      group.take(onNoAnswer(group.State, "a", RequestKind::Statement,
                            NoAnswerKind::Refused, group.Now, group.Rng));
    CHECK(group.all<SendPrepare>().size() == 3);
  }
  SUBCASE("an inactive node leaves the promotion to the owner") {
    group.State.Active = false;
    silencePrimary(group, 600ms, 500ms);
    CHECK(group.all<SendPrepare>().empty());
  }
}

TEST_CASE("a pause of this process is not silence of the primary") {
  Group group;
  settle(group);
  noteRequest(group.State, group.Now);
  group.tick(60ms);
  group.tick(500ms);
  CHECK(group.all<OwnPauseDetected>().size() == 1);
  for (const auto *it : {"b", "c"}) {
    auto silent = report(it, 1, 10);
    silent.PrimaryContact = 500ms;
    group.answer(silent);
  }
  CHECK(group.all<PromotionStarted>().empty());

  // The baseline policy falls for it.
  group.State.Config.Policy = PromotionPolicy::FixedTimeout;
  group.State.Config.FixedTimeout = 400ms;
  group.tick();
  CHECK(group.all<PromotionStarted>().size() == 1);
}

TEST_CASE("a promotion takes the highest log of a majority, once per term") {
  Group group;
  settle(group);
  noteRequest(group.State, group.Now);
  silencePrimary(group, 450ms, 500ms);
  REQUIRE(group.State.Promoting.Stage == PromotionStage::Preparing);
  auto term = group.State.Promoting.Term;

  SUBCASE("it ends with the server that holds the most") {
    group.grant("b", term, {1, 10});
    CHECK(group.all<SendPromote>().empty());
    group.grant("c", term, {1, 12});
    REQUIRE(group.all<SendPromote>().size() == 1);
    CHECK(group.all<SendPromote>().front().Server == "c");
    group.take(onPromoteAnswer(group.State, {"c", term, true}, group.Now,
                               group.Now, group.Rng));
    CHECK(currentPrimary(group.State)->Primary == "c");
    CHECK(group.all<SendFollow>().size() == 1);
    CHECK_FALSE(writeBlockReason(group.State, group.Now).has_value());
  }
  SUBCASE("a higher term counts more than a higher index") {
    group.grant("b", term, {1, 90});
    group.grant("c", term, {2, 4});
    CHECK(group.all<SendPromote>().front().Server == "c");
  }
  SUBCASE("a lost race backs off and then uses a term above all it saw") {
    group.grant("b", term, {1, 10}, false);
    auto failed = group.all<PromotionFailed>();
    REQUIRE(failed.size() == 1);
    CHECK(failed.front().Failure == PromotionFailure::LostRace);
    CHECK(failed.front().RetryAt - group.Now >= 50ms);
    CHECK(failed.front().RetryAt - group.Now <= 150ms);
    silencePrimary(group, 300ms, 500ms);
    CHECK(group.State.Promoting.Term > term + 3);
  }
  SUBCASE("an unanswered promote is never repeated under its term") {
    group.grant("b", term, {1, 10});
    group.grant("c", term, {1, 12});
    silencePrimary(group, 600ms, 500ms);
    auto started = group.all<PromotionStarted>();
    REQUIRE(started.size() == 2);
    CHECK(started[1].Term > started[0].Term);
  }
}

TEST_CASE("the avoided server is chosen only when its log is needed") {
  Group group;
  auto &run = group.State.Promoting;
  run.Avoid = "a";
  run.Grants = {{"a", {1, 12}}, {"b", {1, 12}}};
  CHECK(internal::chooseCandidate(group.State) == "b");
  run.Grants["b"] = {1, 11};
  // Entry 12 may have been acknowledged with the third server.
  CHECK(internal::chooseCandidate(group.State) == "a");
  run.Grants["c"] = {1, 10};
  CHECK(internal::chooseCandidate(group.State) == "b");
}

TEST_CASE("a promise without a primary gets a new term") {
  // Replication to that server would stop for ever.
  Group group;
  settle(group);
  noteRequest(group.State, group.Now);
  for (int n = 0; n < 100; ++n) {
    group.tick();
    if (n % 5 != 0)
      continue;
    auto stranded = report("c", 1, 10);
    stranded.PromisedTerm = 4;
    group.answer(report("a", 1, 10));
    group.answer(report("b", 1, 10));
    group.answer(stranded);
  }
  REQUIRE_FALSE(group.all<PromotionStarted>().empty());
  CHECK(group.all<PromotionStarted>().front().Term == 5);
  CHECK(group.all<PromotionStarted>().front().Reason ==
        PromotionReason::StrandedPromise);
}

TEST_CASE("a primary that cannot replicate is replaced by another server") {
  Group group;
  settle(group);
  noteRequest(group.State, group.Now);
  for (int n = 0; n < 120; ++n) {
    group.tick();
    if (n % 5 != 0)
      continue;
    for (const auto *it : {"a", "b", "c"}) {
      auto stalled = report(it, 1, 10);
      stalled.PrimaryContact = 2s;
      group.answer(stalled);
    }
  }
  REQUIRE_FALSE(group.all<PromotionStarted>().empty());
  CHECK(group.State.Promoting.Avoid == "a");
}

TEST_CASE("status requests") {
  Group group;
  SUBCASE("at most one is outstanding for each server") {
    for (int n = 0; n < 10; ++n)
      group.tick();
    CHECK(group.all<SendStatus>().size() == 3);
  }
  SUBCASE("replicas are asked to wait for the awaited position") {
    settle(group);
    group.take(awaitPosition(group.State, {1, 11}, group.Now));
    auto sent = group.all<SendStatus>();
    REQUIRE(sent.size() == 3);
    CHECK(sent[0].Wait == 0ms);
    CHECK(sent[1].WaitPosition == base::LogPosition{1, 11});
    CHECK(sent[1].Wait > 0ms);
  }
  SUBCASE("an old report does not hide a newer promise") {
    settle(group);
    auto fenced = report("b", 1, 10);
    fenced.PromisedTerm = 2;
    group.answer(fenced);
    group.answerAfter(report("b", 1, 12), 300ms);
    CHECK(findServer(group.State, "b")->Report->PromisedTerm == 2);
  }
}

TEST_CASE("a planned handover") {
  Group group;
  settle(group);
  group.take(startHandover(group.State, group.Now));
  CHECK(writeBlockReason(group.State, group.Now) ==
        WriteBlockReason::HandoverRunning);

  SUBCASE("waits for the writes in flight and for a replica") {
    group.take(onWritesInFlight(group.State, 1, group.Now, group.Rng));
    CHECK(group.State.Handing.Stage == HandoverStage::Draining);
    group.take(onWritesInFlight(group.State, 0, group.Now, group.Rng));
    group.tick(5ms);
    group.answer(report("a", 1, 12));
    CHECK(group.all<PromotionStarted>().empty());
    group.answer(report("b", 1, 12));
    REQUIRE(group.all<PromotionStarted>().size() == 1);
    auto term = group.State.Promoting.Term;
    group.grant("a", term, {1, 12});
    group.grant("c", term, {1, 11});
    group.grant("b", term, {1, 12});
    CHECK(group.all<SendPromote>().front().Server == "b");
    group.take(onPromoteAnswer(group.State, {"b", term, true}, group.Now,
                               group.Now, group.Rng));
    REQUIRE(group.all<HandoverFinished>().size() == 1);
    CHECK(group.all<HandoverFinished>().front().Result == HandoverResult::Done);
  }
  SUBCASE("releases the writes when no replica catches up in time") {
    group.take(onWritesInFlight(group.State, 0, group.Now, group.Rng));
    for (int n = 0; n < 25; ++n)
      group.tick();
    REQUIRE(group.all<HandoverFinished>().size() == 1);
    CHECK(group.all<HandoverFinished>().front().Result ==
          HandoverResult::NotCaughtUp);
    CHECK(group.all<SendPrepare>().empty());
  }
}

TEST_CASE("a server that comes back takes its load slowly") {
  Group group;
  settle(group);
  group.Now += 2s;
  group.take(onNoAnswer(group.State, "b", RequestKind::Statement,
                        NoAnswerKind::Refused, group.Now, group.Rng));
  group.take(onNoAnswer(group.State, "b", RequestKind::Statement,
                        NoAnswerKind::Refused, group.Now, group.Rng));
  group.answer(report("b", 1, 10));
  CHECK(slowStartWeight(group.State, "b", group.Now) == doctest::Approx(0.1));
  CHECK(slowStartWeight(group.State, "b", group.Now + 1s) ==
        doctest::Approx(0.55));
  CHECK(slowStartWeight(group.State, "c", group.Now) == 1);
}

TEST_CASE("a changed server list keeps what is known of the others") {
  Group group;
  settle(group);
  auto config = group.State.Config;
  config.Servers.push_back({"d", "zone-a"});
  reconfigure(group.State, config);
  CHECK(currentPrimary(group.State)->Primary == "a");
  CHECK(group.State.Servers.size() == 4);
  // Three of four are a majority, two are not any more.
  CHECK(isConfirmed(group.State, {1, 10}));
  config.Servers.erase(config.Servers.begin() + 1);
  config.Servers.push_back({"e", "zone-b"});
  reconfigure(group.State, config);
  CHECK_FALSE(isConfirmed(group.State, {1, 10}));
}

} // namespace
} // namespace baobabpin::replication
