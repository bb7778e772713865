/// Transfers of patches in pieces. A piece is small, so that it does not delay
/// other messages on the same link, and a transfer continues after a lost
/// connection or with another node instead of starting again.
///
/// \code
///   PatchTransfer transfer;
///   while (!isComplete(transfer))
///     acceptPiece(transfer, request({version, transfer.Header.ToVersion,
///                                    transfer.Bytes.size()}));
/// \endcode
#pragma once

#include "baobabpin/distribution/Patch.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace baobabpin::distribution {

/// The size of a piece, in bytes. It occupies a link of 2 Mbit/s for 33 ms.
inline constexpr std::size_t PieceSize = 8192;

struct PieceRequest {
  /// The version that the caller has; 0 if none.
  std::uint64_t HaveVersion = 0;
  /// The version that the transfer leads to; 0 for a new transfer.
  std::uint64_t WantedVersion = 0;
  /// The number of bytes of the patch that the caller has received.
  std::size_t Offset = 0;
};

struct Piece {
  PatchHeader Header;
  /// The position of Bytes in the patch.
  std::size_t Offset = 0;
  std::string Bytes;
};

/// The part of a patch that has been received.
struct PatchTransfer {
  PatchHeader Header;
  std::string Bytes;
};

/// Returns the piece of \p patch for \p request. It starts at the beginning if
/// the request refers to another patch.
Piece cutPiece(const Patch &patch, const PieceRequest &request);

/// Adds a piece. A piece of another patch starts the transfer again. Returns
/// whether the piece brought the transfer forward.
bool acceptPiece(PatchTransfer &transfer, const Piece &piece);

bool isComplete(const PatchTransfer &transfer);

/// Encode messages for the connection between nodes. A piece is one line of
/// JSON that is followed by the bytes.
std::string encode(const PieceRequest &request);
std::string encode(const Piece &piece);
/// Return nothing for a malformed text.
std::optional<PieceRequest> decodePieceRequest(const std::string &text);
std::optional<Piece> decodePiece(const std::string &text);

} // namespace baobabpin::distribution
