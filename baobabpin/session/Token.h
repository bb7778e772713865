/// Session tokens: the caller's position in each group that it wrote to,
/// authenticated, so that any node can serve the session and none keeps state.
///
/// \code
///   Session session = BOOST_LEAF_TRY(decodeToken(text, keys, "bukhan"));
///   advance(session, "lending-ledger-0", position);
///   reply.Session = encodeToken(session, keys);
/// \endcode
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/base/Identifiers.h"
#include "baobabpin/base/LogPosition.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace baobabpin::session {

/// A token of more groups than this is refused; it bounds the token's size.
inline constexpr std::size_t MaxGroups = 64;
/// Longest accepted token text, in characters.
inline constexpr std::size_t MaxTokenLength = 8192;

/// A secret for HMAC-SHA256, selected by the number inside a token.
struct SessionKey {
  std::uint32_t Id = 0;
  std::string Secret;
};

/// The first key signs; all verify, which lets keys rotate.
using KeyRing = std::vector<SessionKey>;

struct Session {
  std::string Customer;
  std::map<base::GroupName, base::LogPosition> Positions;

  bool operator==(const Session &) const = default;
};

/// Base64url text without padding.
std::string encodeToken(const Session &session, const KeyRing &keys);

/// Fails with InvalidSession for a token that is malformed, was not signed by
/// one of \p keys, or belongs to another customer than \p customer.
base::Result<Session> decodeToken(std::string_view token, const KeyRing &keys,
                                  const std::string &customer);

/// Raises the position in \p group; a lower position changes nothing.
void advance(Session &session, const base::GroupName &group,
             base::LogPosition position);

/// Takes the higher position of each group, for tokens used in parallel.
void merge(Session &into, const Session &from);

} // namespace baobabpin::session
