#include "baobabpin/quota/Allowance.h"

#include <doctest/doctest.h>

#include <chrono>

namespace baobabpin::quota {
namespace {

using namespace std::chrono_literals;

const Tolerance Usual{5s, 0.1, 20};
constexpr auto Validity = 400ms;

base::BootTime at(std::chrono::nanoseconds time) {
  return base::BootTime(1000s) + time;
}

/// An allowance with the demand of \p perSecond operations until \p end.
Allowance withDemand(int perSecond, std::chrono::nanoseconds end) {
  Allowance it;
  for (auto time = end - 2s; time < end;
       time += std::chrono::nanoseconds(1s) / perSecond)
    noteDemand(it, at(time));
  return it;
}

TEST_CASE("a token is spent once, and not after its expiry") {
  Allowance it;
  addTokens(it, {2, at(400ms), "n1"}, at(0s));
  CHECK(spendToken(it, at(1ms)));
  auto token = spendToken(it, at(2ms));
  REQUIRE(token);
  CHECK(token->Granter == "n1");
  CHECK_FALSE(spendToken(it, at(3ms)));
  unspendToken(it, *token, at(4ms));
  CHECK_FALSE(spendToken(it, at(400ms)));
  unspendToken(it, *token, at(401ms));
  CHECK(it.Available == 0);
}

TEST_CASE("the tokens that expire first are spent first") {
  Allowance it;
  addTokens(it, {1, at(400ms), "late"}, at(0s));
  addTokens(it, {1, at(200ms), "early"}, at(0s));
  CHECK(spendToken(it, at(0s))->Granter == "early");
  CHECK(spendToken(it, at(0s))->Granter == "late");
}

TEST_CASE("a node fetches tokens in advance by its own demand") {
  auto busy = withDemand(1000, 0s);
  int wanted = tokensWanted(busy, 0, Validity, at(0s));
  CHECK(wanted > 80);
  CHECK(wanted < 120);
  Allowance quiet;
  CHECK(tokensWanted(quiet, 0, Validity, at(0s)) == 0);
  CHECK(tokensWanted(quiet, 3, Validity, at(0s)) == 3);
}

TEST_CASE("a node gives tokens back when its demand has ended") {
  auto it = withDemand(1000, 0s);
  addTokens(it, {100, at(400ms), "n1"}, at(0s));
  CHECK(takeSurplus(it, Validity, at(10ms)).Tokens == 0);
  auto surplus = takeSurplus(it, Validity, at(200ms));
  CHECK(surplus.Tokens > 50);
  CHECK(surplus.Granter == "n1");
  CHECK(it.Available == 100 - surplus.Tokens);
}

TEST_CASE(
    "granters take turns, and the other one replaces one without tokens") {
  GranterStates states;
  CHECK(chooseGranter(states, 2, 0, at(0s)) == 1);
  CHECK(chooseGranter(states, 2, 1, at(0s)) == 0);
  states[1].EmptyUntil = at(10ms);
  CHECK(chooseGranter(states, 2, 0, at(0s)) == 0);
  CHECK(chooseGranter(states, 2, 0, at(10ms)) == 1);
  states[0].Silent = true;
  CHECK_FALSE(chooseGranter(states, 2, 0, at(0s)));
  CHECK_FALSE(chooseGranter(states, 0, 0, at(0s)));
}

TEST_CASE("a refusal says whether the limit is reached, and when to retry") {
  GranterStates states;
  states[0].EmptyUntil = at(30ms);
  states[1].EmptyUntil = at(12ms);
  CHECK(refusalText(refusalOf(states, 2, at(0s))) == "rate_limit retry_ms=12");
  states[1].Silent = true;
  CHECK(refusalText(refusalOf(states, 2, at(0s))) == "rate_limit retry_ms=30");
  states[0].NotGrantingUntil = at(50ms);
  CHECK(refusalText(refusalOf(states, 2, at(0s))) ==
        "quota_unavailable retry_ms=1000");
  // Guards against a granter that does not grant, and has not been asked again
  // yet, being taken for one without tokens.
  CHECK(refusalText(refusalOf(states, 2, at(60ms))) ==
        "quota_unavailable retry_ms=1000");
}

TEST_CASE("without granters all nodes together run less than half the slack") {
  int most = 0;
  for (int fleet : {1, 25, 64, 4300}) {
    std::vector<FallbackQuota> nodes(static_cast<std::size_t>(fleet),
                                     startFallback(Usual, at(0s)));
    int inWindow = 0;
    // The window begins when all of them may run an operation.
    for (auto time = 6s + 0ms; time < 11s; time += 50ms) {
      for (std::size_t rank = 0; rank < nodes.size(); ++rank)
        inWindow += spendFallback(nodes[rank], rank, Usual, at(time)) ? 1 : 0;
    }
    most = std::max(most, inWindow);
  }
  CHECK(most == 5);
  CHECK(most < Usual.Slack / 2);
}

TEST_CASE("a restarted node does not run a second operation in the window") {
  auto fallback = startFallback(Usual, at(0s));
  CHECK_FALSE(spendFallback(fallback, 0, Usual, at(5s)));
  CHECK(spendFallback(fallback, 0, Usual, at(5100ms)));
}

TEST_CASE("the decision of a requesting node takes well under a microsecond") {
  Allowance it;
  constexpr int Decisions = 1'000'000;
  addTokens(it, {2 * Decisions, at(1h), "n1"}, at(0s));
  int spent = 0;
  auto start = std::chrono::steady_clock::now();
  for (int n = 0; n < Decisions; ++n) {
    auto now = at(n * 10us);
    noteDemand(it, now);
    spent += spendToken(it, now) ? 1 : 0;
    spent += tokensWanted(it, 0, Validity, now) > 0 ? 1 : 0;
  }
  auto each = (std::chrono::steady_clock::now() - start) / Decisions;
  MESSAGE("a decision takes " << each.count() << " ns");
  CHECK(spent >= Decisions);
  CHECK(each < 1us);
}

} // namespace
} // namespace baobabpin::quota
