/// Session tokens. A token holds the log position that the session must see in
/// each database group that it wrote to. The caller sends the token with its
/// requests, so that any node can serve them and no node keeps state for such a
/// session. (A frontend::Session, in contrast, belongs to one connection.) A
/// message authentication code protects the token from changes.
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

/// A token with more groups than this is refused, which limits the size of
/// tokens.
inline constexpr std::size_t MaxGroups = 64;
/// The maximum length of an accepted token text, in characters.
inline constexpr std::size_t MaxTokenLength = 8192;

/// A secret for HMAC-SHA256. A token contains the Id of its key.
struct SessionKey {
  std::uint32_t Id = 0;
  std::string Secret;
};

/// New tokens are signed with the first key. Tokens of all keys are accepted,
/// so that keys can be rotated.
using KeyRing = std::vector<SessionKey>;

/// The contents of a token: its customer and the session's position in each
/// group.
struct Session {
  std::string Customer;
  std::map<base::GroupName, base::LogPosition> Positions;

  bool operator==(const Session &) const = default;
};

/// Signs the session with the first of \p keys, which must not be empty, and
/// returns the token as base64url text without padding.
std::string encodeToken(const Session &session, const KeyRing &keys);

/// Fails with InvalidSession for a token that is malformed, was not signed by
/// one of \p keys, or belongs to another customer than \p customer.
base::Result<Session> decodeToken(std::string_view token, const KeyRing &keys,
                                  const std::string &customer);

/// Raises the session's position in \p group to \p position; a lower position
/// changes nothing.
void advance(Session &session, const base::GroupName &group,
             base::LogPosition position);

/// Raises the position of each group in \p into to that in \p from. A client
/// that used several tokens of a session in parallel merges them in this way.
void merge(Session &into, const Session &from);

} // namespace baobabpin::session
