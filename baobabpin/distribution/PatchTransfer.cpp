#include "baobabpin/distribution/PatchTransfer.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace baobabpin::distribution {

using nlohmann::json;

Piece cutPiece(const Patch &patch, const PieceRequest &request) {
  bool continues = request.WantedVersion == patch.Header.ToVersion &&
                   request.Offset <= patch.Bytes.size();
  std::size_t offset = continues ? request.Offset : 0;
  return {patch.Header, offset, patch.Bytes.substr(offset, PieceSize)};
}

bool acceptPiece(PatchTransfer &transfer, const Piece &piece) {
  if (piece.Header != transfer.Header)
    transfer = {piece.Header, {}};
  bool fits =
      piece.Offset == transfer.Bytes.size() &&
      piece.Bytes.size() <= transfer.Header.PatchSize - transfer.Bytes.size();
  if (!fits || piece.Bytes.empty())
    return false;
  transfer.Bytes += piece.Bytes;
  return true;
}

bool isComplete(const PatchTransfer &transfer) {
  return transfer.Header.ToVersion != 0 &&
         transfer.Bytes.size() == transfer.Header.PatchSize;
}

std::string encode(const PieceRequest &request) {
  return json{{"have", request.HaveVersion},
              {"wanted", request.WantedVersion},
              {"offset", request.Offset}}
      .dump();
}

std::string encode(const Piece &piece) {
  json header{{"from", piece.Header.FromVersion},
              {"to", piece.Header.ToVersion},
              {"era", piece.Header.StoredAt.Era},
              {"revision", piece.Header.StoredAt.Revision},
              {"hash", piece.Header.TextHash},
              {"text_size", piece.Header.TextSize},
              {"patch_size", piece.Header.PatchSize},
              {"offset", piece.Offset}};
  return header.dump() + "\n" + piece.Bytes;
}

std::optional<PieceRequest> decodePieceRequest(const std::string &text) {
  try {
    json it = json::parse(text);
    return PieceRequest{it.at("have").get<std::uint64_t>(),
                        it.at("wanted").get<std::uint64_t>(),
                        it.at("offset").get<std::size_t>()};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::optional<Piece> decodePiece(const std::string &text) {
  auto end = text.find('\n');
  if (end == std::string::npos)
    return std::nullopt;
  try {
    json it = json::parse(text.substr(0, end));
    PatchHeader header{it.at("from").get<std::uint64_t>(),
                       it.at("to").get<std::uint64_t>(),
                       {it.value("era", std::uint64_t{0}),
                        it.at("revision").get<std::uint64_t>()},
                       it.at("hash").get<std::uint64_t>(),
                       it.at("text_size").get<std::size_t>(),
                       it.at("patch_size").get<std::size_t>()};
    return Piece{header, it.at("offset").get<std::size_t>(),
                 text.substr(end + 1)};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace baobabpin::distribution
