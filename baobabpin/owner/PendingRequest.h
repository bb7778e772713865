/// One request on its way through a group owner.
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/base/Time.h"
#include "baobabpin/proto/peer.pb.h"
#include "baobabpin/upstream/Messages.h"

#include <functional>
#include <memory>
#include <optional>

namespace baobabpin::owner {

using ReplyCallback = std::function<void(proto::ForwardReply)>;

/// What must be proven before an answer may be returned.
enum class ProofKind {
  None,
  Position, ///< A majority holds the write's position.
  Term,     ///< A majority confirmed the term after the statement ran.
  Age,      ///< The data is proven to be young enough.
};

struct PendingRequest {
  std::uint64_t Id = 0;
  proto::ForwardRequest Request;
  ReplyCallback Reply;
  base::TimePoint ArrivedAt;
  base::TimePoint Deadline;
  /// An earlier attempt may have taken effect: a later refusal does not prove
  /// that the request did not run.
  bool MaybeRan = false;
  /// No replica qualified; the primary answers this read.
  bool NeedsPrimary = false;
  /// A status round was made because no replica was young enough.
  bool RoundTried = false;
  bool Finished = false;
  /// Not dispatched again before this.
  base::TimePoint RetryAt;

  std::optional<upstream::Answer> Answer;
  ProofKind Proof = ProofKind::None;
  base::TermNumber AnswerTerm = 0;
  /// Confirmations count from here on.
  base::TimePoint ProofSince;
  base::ServerId AnsweredBy;
};

using PendingPtr = std::shared_ptr<PendingRequest>;

/// A reply without data.
proto::ForwardReply makeReply(base::Outcome outcome, base::ErrorType error,
                              const std::string &detail);

inline bool isStrict(const PendingRequest &it) {
  return !it.Request.is_write() && it.Request.max_age_ms() == 0;
}

inline bool needsPrimary(const PendingRequest &it) {
  return it.Request.operation() != proto::ForwardRequest::EXECUTE ||
         it.Request.is_write() || it.NeedsPrimary || isStrict(it);
}

/// Whether the request may change data.
inline bool isWrite(const PendingRequest &it) {
  return it.Request.is_write() ||
         it.Request.operation() == proto::ForwardRequest::COMMIT;
}

} // namespace baobabpin::owner
