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

TEST_CASE("a session moves between nodes by its token") {
  KeyRing keys{{1, "first secret"}};
  Session session{"bukhan", {}};
  advance(session, "lending-ledger-0", {2, 40});
  advance(session, "lending-ledger-1", {1, 7});
  std::string token = encodeToken(session, keys);

  SUBCASE("another node with the same key reads the same positions") {
    CHECK(decoded(token, keys) == session);
  }
  SUBCASE("a rotated ring still accepts tokens of the older key") {
    CHECK(decoded(token, {{2, "new secret"}, {1, "first secret"}}) == session);
    CHECK(errorOf(token, {{2, "new secret"}}, "bukhan") ==
          base::ErrorType::InvalidSession);
  }
  SUBCASE("every corrupted character is noticed") {
    // A corrupted position would be served as older data without an error.
    for (std::size_t n = 0; n + 1 < token.size(); ++n) {
      std::string corrupted = token;
      corrupted[n] = corrupted[n] == 'A' ? 'B' : 'A';
      CHECK(errorOf(corrupted, keys, "bukhan") ==
            base::ErrorType::InvalidSession);
    }
    for (const char *it : {"", "A", "%%%%", "AAAAAAAAAAAAAAAAAAAAAAAAAAAA"})
      CHECK(errorOf(it, keys, "bukhan") == base::ErrorType::InvalidSession);
  }
  SUBCASE("another customer cannot use it") {
    CHECK(errorOf(token, keys, "lankapura") == base::ErrorType::InvalidSession);
  }
  SUBCASE("tokens used in parallel merge to the highest position") {
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
