#include "baobabpin/operators/Rights.h"

#include <openssl/pem.h>
#include <openssl/x509.h>

#include <algorithm>
#include <memory>

namespace baobabpin::operators {
namespace {

std::string entryText(const X509_NAME_ENTRY *entry) {
  unsigned char *text = nullptr;
  int length = ASN1_STRING_to_UTF8(&text, X509_NAME_ENTRY_get_data(entry));
  if (length < 0)
    return {};
  std::string copy(reinterpret_cast<char *>(text),
                   static_cast<std::size_t>(length));
  OPENSSL_free(text);
  return copy;
}

std::vector<std::string> entriesOf(const X509_NAME *subject, int nid) {
  std::vector<std::string> texts;
  int at = X509_NAME_get_index_by_NID(subject, nid, -1);
  while (at >= 0) {
    texts.push_back(entryText(X509_NAME_get_entry(subject, at)));
    at = X509_NAME_get_index_by_NID(subject, nid, at);
  }
  return texts;
}

} // namespace

ClientIdentity readIdentity(std::string_view pem) {
  std::unique_ptr<BIO, decltype(&BIO_free)> bio(
      BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())), &BIO_free);
  std::unique_ptr<X509, decltype(&X509_free)> certificate(
      PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr), &X509_free);
  if (!certificate)
    return {};
  const X509_NAME *subject = X509_get_subject_name(certificate.get());
  ClientIdentity identity;
  identity.Units = entriesOf(subject, NID_organizationalUnitName);
  auto names = entriesOf(subject, NID_commonName);
  if (!names.empty())
    identity.CommonName = names.front();
  return identity;
}

Right rightOf(const ClientIdentity &identity) {
  auto has = [&](const char *unit) {
    return std::find(identity.Units.begin(), identity.Units.end(), unit) !=
           identity.Units.end();
  };
  if (has("operator"))
    return Right::Change;
  return has("viewer") ? Right::Read : Right::None;
}

} // namespace baobabpin::operators
