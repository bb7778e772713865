#include "baobabpin/base/Word.h"

#include <doctest/doctest.h>

#include <string>

namespace baobabpin::base {
namespace {

TEST_CASE("a word is one field of a message") {
  CHECK(isWord("i-7f3a91c2"));
  CHECK(isWord("ledger\xc3\xa9"));
  CHECK(isName("zone a"));
  CHECK_FALSE(isWord("zone a"));
  SUBCASE("neither a name nor a word has a control character or is too long") {
    for (const std::string &it :
         {std::string(), std::string("a\r\nb"), std::string("a\nb"),
          std::string("a\0b", 3), std::string("a\tb"), std::string("a\x7f"),
          std::string(MaxNameBytes + 1, 'a')}) {
      CHECK_FALSE(isName(it));
      CHECK_FALSE(isWord(it));
    }
  }
}

} // namespace
} // namespace baobabpin::base
