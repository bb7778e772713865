/// Calls between nodes for the tokens of organisations, as JSON over HTTP. One
/// call has all organisations for which a node asks the same granter.
#pragma once

#include "baobabpin/base/Identifiers.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace baobabpin::quota {

inline constexpr const char *QuotaPath = "/peer/quota";

/// What a node asks for one organisation.
struct TokenRequest {
  int Tokens = 0;
  /// Another granter of the organisation does not reply to the caller.
  bool Substitute = false;
  /// Unspent tokens that the caller gives back; omitted when 0.
  int Returned = 0;

  bool operator==(const TokenRequest &) const = default;
};

struct QuotaRequest {
  std::string Node;
  std::map<base::OrganisationName, TokenRequest> Wanted;

  bool operator==(const QuotaRequest &) const = default;
};

/// What a granter replies for one organisation.
struct TokenGrant {
  int Tokens = 0;
  /// How long the tokens may be spent, from when the call was sent.
  std::chrono::milliseconds Valid{0};
  /// When to ask again. Zero unless fewer tokens were granted than asked for.
  std::chrono::milliseconds Retry{0};

  bool operator==(const TokenGrant &) const = default;
};

/// Has no entry for an organisation for which the node does not grant.
struct QuotaReply {
  std::map<base::OrganisationName, TokenGrant> Granted;

  bool operator==(const QuotaReply &) const = default;
};

std::string encode(const QuotaRequest &it);
std::string encode(const QuotaReply &it);
/// Return nothing for a malformed text.
std::optional<QuotaRequest> decodeQuotaRequest(const std::string &text);
std::optional<QuotaReply> decodeQuotaReply(const std::string &text);

} // namespace baobabpin::quota
