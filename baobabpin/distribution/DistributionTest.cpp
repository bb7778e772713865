#include "baobabpin/distribution/BulkPace.h"
#include "baobabpin/distribution/DocumentArchive.h"
#include "baobabpin/distribution/PatchTransfer.h"

#include <doctest/doctest.h>

#include <random>

namespace baobabpin::distribution {
namespace {

using namespace std::chrono_literals;

/// Returns a document with \p routes routes, as an operator would write it.
Document makeDocument(std::uint64_t version, int routes) {
  Document it{version, {0, version * 10}, "{\"routes\":["};
  std::minstd_rand random(7);
  for (int n = 0; n < routes; ++n)
    it.Text += R"({"database":"db)" + std::to_string(random()) +
               R"(","reads":"strict","timeout_ms":1500,"group":"ledger-)" +
               std::to_string(n % 20) + R"(","priority":2},)";
  it.Text += "{}],\"version\":" + std::to_string(version) + "}";
  return it;
}

/// Transfers the newest document of \p source to a node that has \p base.
/// Returns the document and counts the bytes of all pieces.
std::optional<Document> fetch(DocumentArchive &source, const Document &base,
                              std::size_t &bytes) {
  PatchTransfer transfer;
  while (!isComplete(transfer)) {
    PieceRequest request{base.Version, transfer.Header.ToVersion,
                         transfer.Bytes.size()};
    const Patch *patch =
        source.patchFor(request.HaveVersion, request.WantedVersion);
    if (!patch)
      return std::nullopt;
    Piece piece = cutPiece(*patch, request);
    bytes += piece.Bytes.size();
    if (!acceptPiece(transfer, piece))
      return std::nullopt;
  }
  Document from = transfer.Header.FromVersion == 0 ? Document{} : base;
  return applyPatch(from, {transfer.Header, transfer.Bytes});
}

TEST_CASE("a peer fetches a document in small pieces") {
  DocumentArchive source;
  Document small = makeDocument(1, 3);
  Document large = makeDocument(2, 1500);
  source.add(small);
  source.add(large);
  std::size_t bytes = 0;

  SUBCASE("a peer without a document gets all of it, compressed") {
    CHECK(fetch(source, {}, bytes) == large);
    CHECK(bytes < large.Text.size() / 4);
  }
  SUBCASE("a peer with the previous version gets the difference") {
    Document next = large;
    next.Version = 3;
    next.Text += "a changed timeout";
    source.add(next);
    CHECK(fetch(source, large, bytes) == next);
    CHECK(bytes < 1000);
  }
  SUBCASE("a peer with a forgotten version gets the whole text") {
    for (std::uint64_t version = 3; version < 9; ++version)
      source.add(makeDocument(version, 1500));
    CHECK(fetch(source, small, bytes) == makeDocument(8, 1500));
  }
  SUBCASE("a peer with the newest version gets nothing") {
    CHECK(source.patchFor(2, 0) == nullptr);
    CHECK(source.patchFor(9, 0) == nullptr);
  }
  SUBCASE("an older version is never adopted") {
    CHECK_FALSE(source.add(makeDocument(2, 4)));
    CHECK_FALSE(source.add(small));
    CHECK(source.newest() == large);
  }
}

TEST_CASE("a transfer makes progress while versions follow each other") {
  DocumentArchive source;
  Document base = makeDocument(1, 3);
  source.add(base);
  source.add(makeDocument(2, 1500));
  PatchTransfer transfer;
  std::uint64_t version = 2;
  int pieces = 0;
  // Four versions appear between two pieces, so that the archive has forgotten
  // both ends of the patch after the first piece.
  while (!isComplete(transfer) && pieces < 100) {
    PieceRequest request{base.Version, transfer.Header.ToVersion,
                         transfer.Bytes.size()};
    const Patch *patch =
        source.patchFor(request.HaveVersion, request.WantedVersion);
    REQUIRE(patch);
    REQUIRE(acceptPiece(transfer, cutPiece(*patch, request)));
    ++pieces;
    for (int n = 0; n < 4; ++n)
      source.add(makeDocument(++version, 1500));
  }
  REQUIRE(isComplete(transfer));
  CHECK(transfer.Header.ToVersion == 2);
  CHECK(applyPatch(base, {transfer.Header, transfer.Bytes}) ==
        makeDocument(2, 1500));
}

TEST_CASE("pieces from two nodes form one patch") {
  DocumentArchive first;
  DocumentArchive second;
  for (std::uint64_t version : {1, 2}) {
    first.add(makeDocument(version, version == 1 ? 3 : 1500));
    second.add(makeDocument(version, version == 1 ? 3 : 1500));
  }
  PatchTransfer transfer;
  for (int n = 0; !isComplete(transfer); ++n) {
    REQUIRE(n < 100);
    PieceRequest request{1, transfer.Header.ToVersion, transfer.Bytes.size()};
    DocumentArchive &source = n % 2 == 0 ? first : second;
    acceptPiece(transfer,
                cutPiece(*source.patchFor(1, request.WantedVersion), request));
  }
  CHECK(applyPatch(makeDocument(1, 3), {transfer.Header, transfer.Bytes}) ==
        makeDocument(2, 1500));
}

TEST_CASE("a malformed patch or piece is rejected") {
  Document from = makeDocument(1, 30);
  Document to = makeDocument(2, 40);
  Patch patch = makePatch(from, to).value();
  REQUIRE(applyPatch(from, patch) == to);

  SUBCASE("the base has another version or text") {
    Document other = from;
    other.Version = 7;
    CHECK_FALSE(applyPatch(other, patch));
    other = makeDocument(1, 29);
    CHECK_FALSE(applyPatch(other, patch));
  }
  SUBCASE("any changed byte is noticed") {
    for (std::size_t n = 0; n < patch.Bytes.size(); ++n) {
      Patch damaged = patch;
      damaged.Bytes[n] = static_cast<char>(damaged.Bytes[n] ^ 0x41);
      auto result = applyPatch(from, damaged);
      CHECK((!result || *result == to));
    }
  }
  SUBCASE("a header that claims a huge text is rejected") {
    patch.Header.TextSize = MaxTextSize + 1;
    CHECK_FALSE(applyPatch(from, patch));
  }
  SUBCASE("a piece that does not continue the transfer is ignored") {
    PatchTransfer transfer;
    Piece piece = cutPiece(patch, {});
    CHECK(acceptPiece(transfer, piece));
    CHECK_FALSE(acceptPiece(transfer, piece));
    piece.Bytes += std::string(100, 'x');
    PatchTransfer empty;
    CHECK_FALSE(acceptPiece(empty, piece));
  }
  SUBCASE("texts that are not messages are rejected") {
    for (const char *text : {"", "{}", "{}\n", "[]\nabc", "{\"from\":1}\nabc",
                             "{\"have\":\"x\"}", "null\n", "\xff\xfe\n"}) {
      CHECK_FALSE(decodePiece(text));
      CHECK_FALSE(decodePieceRequest(text));
    }
  }
  SUBCASE("messages survive encoding") {
    Piece piece = cutPiece(patch, {1, 0, 0});
    auto decoded = decodePiece(encode(piece));
    REQUIRE(decoded);
    CHECK(decoded->Header == piece.Header);
    CHECK(decoded->Bytes == piece.Bytes);
    auto request = decodePieceRequest(encode(PieceRequest{3, 4, 5}));
    REQUIRE(request);
    CHECK(request->HaveVersion == 3);
    CHECK(request->WantedVersion == 4);
    CHECK(request->Offset == 5);
  }
}

TEST_CASE("bulk data leaves a third of a slow link to other messages") {
  BulkPace pace = paceForLink(2);
  base::BootTime now{1s};
  SUBCASE("an idle link sends at once") {
    CHECK(admitBulk(pace, PieceSize, now) == 0ns);
  }
  SUBCASE("sixteen peers are served one after the other") {
    std::chrono::nanoseconds last{0};
    for (int n = 0; n < 16; ++n)
      last = admitBulk(pace, PieceSize, now);
    // 15 pieces at 65% of 250 kB/s.
    CHECK(last > 700ms);
    CHECK(last < 800ms);
    CHECK(admitBulk(pace, PieceSize, now + 3s) == 0ns);
  }
  SUBCASE("an unknown link gets a usable rate") {
    CHECK(paceForLink(0).BytesPerSecond > 0);
  }
}

} // namespace
} // namespace baobabpin::distribution
