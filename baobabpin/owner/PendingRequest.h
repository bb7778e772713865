/// A request that a group owner has accepted and not answered yet.
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

/// What must be proven before the owner may return an answer.
enum class ProofKind {
  None,
  /// A majority holds the log position of the write.
  Position,
  /// A majority confirmed the primary's term after the statement ran. This is
  /// required for strict reads, for statements that the database rejected, and
  /// for repeated commits whose transaction the primary does not know.
  Term,
  /// The data is proven to be within the read's maximum age.
  Age,
};

/// The state of one request.
struct PendingRequest {
  std::uint64_t Id = 0;
  proto::ForwardRequest Request;
  ReplyCallback Reply;
  base::TimePoint ArrivedAt;
  base::TimePoint Deadline;
  /// An earlier attempt may have taken effect, so a later refusal does not
  /// prove that the request did not run.
  bool MaybeRan = false;
  /// The primary has to answer this read: no replica qualified for it, or a
  /// replica rejected it.
  bool ReplicasRuledOut = false;
  /// All servers were asked for their status because no replica qualified. A
  /// read asks once and then goes to the primary.
  bool StatusRoundTried = false;
  bool Finished = false;
  /// A delayed request is not dispatched again before this time.
  base::TimePoint RetryAt;

  /// The server's answer, which may still await its proof.
  std::optional<upstream::Answer> Answer;
  ProofKind Proof = ProofKind::None;
  /// Term of the primary that answered; 0 for a replica.
  base::TermNumber AnswerTerm = 0;
  /// Confirmations of the term count when their requests were sent at or after
  /// this time.
  base::TimePoint ProofSince;
  base::ServerId AnsweredBy;
};

using PendingPtr = std::shared_ptr<PendingRequest>;

/// Makes a reply without data.
proto::ForwardReply makeReply(base::Outcome outcome, base::ErrorType error,
                              const std::string &detail);

/// Whether the read must see every write acknowledged before it arrived, that
/// is, whether its maximum age is 0.
inline bool isStrictRead(const PendingRequest &it) {
  return !it.Request.is_write() && it.Request.max_age_ms() == 0;
}

/// Whether only the primary may run the request.
inline bool needsPrimary(const PendingRequest &it) {
  return it.Request.operation() != proto::ForwardRequest::EXECUTE ||
         it.Request.is_write() || it.ReplicasRuledOut || isStrictRead(it);
}

/// Whether the request may change data.
inline bool isWrite(const PendingRequest &it) {
  return it.Request.is_write() ||
         it.Request.operation() == proto::ForwardRequest::COMMIT;
}

} // namespace baobabpin::owner
