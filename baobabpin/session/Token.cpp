#include "baobabpin/session/Token.h"

#include "baobabpin/proto/session.pb.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace baobabpin::session {

using base::ErrorType;

namespace {

/// In bytes. 128 bits make forging a token infeasible and keep it short.
constexpr std::size_t MacLength = 16;

std::string mac(const std::string &secret, std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char *>(data.data()), data.size(),
       buf.data(), &n);
  return {reinterpret_cast<const char *>(buf.data()), MacLength};
}

std::string toBase64Url(const std::string &data) {
  std::string text(4 * ((data.size() + 2) / 3) + 1, '\0');
  int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                          reinterpret_cast<const unsigned char *>(data.data()),
                          static_cast<int>(data.size()));
  text.resize(n);
  while (!text.empty() && text.back() == '=')
    text.pop_back();
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

/// Returns an empty string when \p text is not valid base64url.
std::string fromBase64Url(std::string_view text) {
  std::string padded(text);
  std::replace(padded.begin(), padded.end(), '-', '+');
  std::replace(padded.begin(), padded.end(), '_', '/');
  std::size_t padding = (4 - padded.size() % 4) % 4;
  padded.append(padding, '=');
  std::string data(padded.size() / 4 * 3 + 1, '\0');
  int n =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(data.data()),
                      reinterpret_cast<const unsigned char *>(padded.data()),
                      static_cast<int>(padded.size()));
  if (n < 0 || padding == 3)
    return {};
  data.resize(n - padding);
  return data;
}

bool equalInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

std::string encodeToken(const Session &session, const KeyRing &keys) {
  proto::SessionToken message;
  message.set_customer(session.Customer);
  message.set_key_id(keys.front().Id);
  for (const auto &[group, position] : session.Positions) {
    auto *it = message.add_positions();
    it->set_group(group);
    it->set_term(position.Term);
    it->set_index(position.Index);
  }
  std::string body = message.SerializeAsString();
  return toBase64Url(mac(keys.front().Secret, body) + body);
}

base::Result<Session> decodeToken(std::string_view token, const KeyRing &keys,
                                  const std::string &customer) {
  if (token.size() > MaxTokenLength)
    return base::fail(ErrorType::InvalidSession, "token too long");
  std::string data = fromBase64Url(token);
  if (data.size() <= MacLength)
    return base::fail(ErrorType::InvalidSession, "token is malformed");
  std::string_view body = std::string_view(data).substr(MacLength);
  proto::SessionToken message;
  if (!message.ParseFromArray(body.data(), static_cast<int>(body.size())))
    return base::fail(ErrorType::InvalidSession, "token is malformed");
  auto key = std::find_if(keys.begin(), keys.end(), [&](const auto &it) {
    return it.Id == message.key_id();
  });
  if (key == keys.end())
    return base::fail(ErrorType::InvalidSession, "token key is not accepted");
  if (!equalInConstantTime(std::string_view(data).substr(0, MacLength),
                           mac(key->Secret, body)))
    return base::fail(ErrorType::InvalidSession, "token signature is wrong");
  if (message.customer() != customer)
    return base::fail(ErrorType::InvalidSession,
                      "token belongs to another customer");
  if (static_cast<std::size_t>(message.positions_size()) > MaxGroups)
    return base::fail(ErrorType::InvalidSession, "token has too many groups");
  Session session{message.customer(), {}};
  for (const auto &it : message.positions())
    advance(session, it.group(), {it.term(), it.index()});
  return session;
}

void advance(Session &session, const base::GroupName &group,
             base::LogPosition position) {
  auto &held = session.Positions[group];
  held = std::max(held, position);
}

void merge(Session &into, const Session &from) {
  for (const auto &[group, position] : from.Positions)
    advance(into, group, position);
}

} // namespace baobabpin::session
