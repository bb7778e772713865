#include "baobabpin/session/Token.h"

#include <doctest/doctest.h>

namespace baobabpin::session {
namespace {

base::ErrorType errorOf(const std::string &token, const KeyRing &keys,
                        const std::string &customer) {
  return base::handleFailure(
      [&]() -> base::Result<base::ErrorType> {
        BOOST_LEAF_CHECK(decodeToken(token, keys, customer));
        return base::ErrorType::NotFound;
      },
      [](const base::Failure &failure) { return failure.Type; });
}

Session decoded(const std::string &token, const KeyRing &keys) {
  return base::handleFailure([&] { return decodeToken(token, keys, "bukhan"); },
                             [](const base::Failure &) { return Session{}; });
}

TEST_CASE("a token carries a session between nodes") {
  KeyRing keys{{1, "first secret"}};
  Session session{"bukhan", {}};
  advance(session, "lending-ledger-0", {2, 40});
  advance(session, "lending-ledger-1", {1, 7});
  std::string token = encodeToken(session, keys);

  SUBCASE("a node with the same key decodes the same positions") {
    CHECK(decoded(token, keys) == session);
  }
  SUBCASE("a token of an older key is accepted until the key is removed") {
    CHECK(decoded(token, {{2, "new secret"}, {1, "first secret"}}) == session);
    CHECK(errorOf(token, {{2, "new secret"}}, "bukhan") ==
          base::ErrorType::InvalidSession);
  }
  SUBCASE("a token with a corrupted character before the last is refused") {
    // A token with a corrupted position could make reads return older data
    // without an error. The last character may hold bits that are not part of
    // the data, so it is left out.
    for (std::size_t n = 0; n + 1 < token.size(); ++n) {
      std::string corrupted = token;
      corrupted[n] = corrupted[n] == 'A' ? 'B' : 'A';
      CHECK(errorOf(corrupted, keys, "bukhan") ==
            base::ErrorType::InvalidSession);
    }
    for (const char *it : {"", "A", "%%%%", "AAAAAAAAAAAAAAAAAAAAAAAAAAAA"})
      CHECK(errorOf(it, keys, "bukhan") == base::ErrorType::InvalidSession);
  }
  SUBCASE("a token of another customer is refused") {
    CHECK(errorOf(token, keys, "lankapura") == base::ErrorType::InvalidSession);
  }
  SUBCASE("merging sessions keeps the highest position of each group") {
    Session other{"bukhan", {}};
    advance(other, "lending-ledger-0", {3, 5});
    advance(other, "lending-ledger-1", {1, 6});
    merge(session, other);
    CHECK(session.Positions["lending-ledger-0"] == base::LogPosition{3, 5});
    CHECK(session.Positions["lending-ledger-1"] == base::LogPosition{1, 7});
  }
}

} // namespace
} // namespace baobabpin::session
