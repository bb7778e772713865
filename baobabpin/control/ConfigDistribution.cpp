#include "baobabpin/control/ConfigDistribution.h"

#include "platform/Documents.h"

#include <algorithm>
#include <utility>

namespace baobabpin::control {
namespace {

using std::chrono::milliseconds;

constexpr const char *ConfigPath = "/peer/config";
/// A source that would have to delay a piece for longer refuses it, so that the
/// caller does not time out while the piece waits.
constexpr milliseconds MaxPieceDelay{250};
/// A source that does not reply within this time is replaced by the next.
constexpr milliseconds PieceTimeout{500};
constexpr milliseconds PieceRetry{150};
/// A source that refuses pieces for this long, because it is busy or does not
/// have the version, is replaced by the next.
constexpr milliseconds SourceTimeout{500};
/// A transfer without progress for longer has failed.
constexpr milliseconds TransferTimeout{2500};
constexpr int HttpBadRequest = 400;
constexpr int HttpNotFound = 404;
constexpr int HttpUnavailable = 503;

} // namespace

ConfigDistribution::ConfigDistribution(kernel::EventLoop &loop,
                                       platform::PlatformStore &store,
                                       PeerCaller &caller, kernel::LineLog &log,
                                       std::int64_t linkMegabits)
    : Loop(loop), Store(store), Caller(caller), Log(log),
      Pace(distribution::paceForLink(linkMegabits)) {}

const cluster::Configuration *ConfigDistribution::configuration() const {
  return Config ? &*Config : nullptr;
}

bool ConfigDistribution::isFetching(base::BootTime now) const {
  return OfferedVersion > version() && now - ProgressAt < TransferTimeout;
}

void ConfigDistribution::readStore() {
  if (std::exchange(ReadingStore, true))
    return;
  auto sentAt = base::BootClock::now();
  Store.readIfChanged(platform::ConfigurationKey, SeenAt.Revision,
                      Pace.BytesPerSecond,
                      [this, sentAt](const platform::ChangedEntry &reply) {
                        onStoreReply(reply, sentAt);
                      });
}

void ConfigDistribution::onStoreReply(const platform::ChangedEntry &reply,
                                      base::BootTime sentAt) {
  ReadingStore = false;
  bool ok = reply.Status == store::StoreStatus::Ok;
  if (std::exchange(StoreAvailable, ok) != ok)
    Log.line(ok ? "store_regained" : "store_lost")
        .add("reading", "configuration")
        .add("config_age_ms", base::BootClock::now() - ConfirmedAt);
  if (!ok)
    return;
  // A late reply from before a restore of the store.
  if (reply.Era < SeenAt.Era)
    return;
  bool sameEra = std::exchange(SeenAt.Era, reply.Era) == reply.Era;
  // In the new era the store may have given the revision to another version.
  if (!reply.Entry && !sameEra && std::exchange(SeenAt.Revision, 0) != 0) {
    readStore();
    return;
  }
  if (reply.Entry) {
    SeenAt.Revision = reply.Entry->Revision;
    NewestUnreadable = adopt({.StoredAt = SeenAt, .Text = reply.Entry->Value},
                             "store", sentAt) == Adoption::Unreadable;
  }
  if (!NewestUnreadable)
    ConfirmedAt = std::max(ConfirmedAt, sentAt);
}

ConfigDistribution::Adoption
ConfigDistribution::adopt(distribution::Document document,
                          std::string_view source, base::BootTime newestAt) {
  auto fresh = platform::parseConfiguration(document.Text);
  bool matches =
      fresh && (document.Version == 0 || document.Version == fresh->Version);
  if (!matches) {
    Log.line("configuration_unreadable").add("source", source);
    return Adoption::Unreadable;
  }
  // A configuration in force is never replaced by an older one.
  if (fresh->Version <= version())
    return Adoption::NotNewer;
  Log.line("configuration_applied")
      .add("version", static_cast<std::int64_t>(fresh->Version))
      .add("routes", static_cast<std::int64_t>(fresh->RoutesByDatabase.size()))
      .add("source", source);
  // A peer may bring a version that is older than an unreadable one.
  NewestUnreadable = NewestUnreadable && document.StoredAt < SeenAt;
  SeenAt = std::max(SeenAt, document.StoredAt);
  document.Version = fresh->Version;
  Archive.add(std::move(document));
  Config = std::move(fresh);
  Transfer = {};
  WholeTextWanted = false;
  // Sessions are checked against the new version at once, and a key that it
  // does not have is denied only if the version is known to be recent.
  ConfirmedAt = std::max(ConfirmedAt, newestAt);
  if (version() >= OfferedVersion)
    ConfirmedAt = std::max(ConfirmedAt, OfferedNewestAt);
  OnAdopted();
  return Adoption::Adopted;
}

void ConfigDistribution::onPeerVersion(const PeerNode &peer,
                                       std::uint64_t peerVersion,
                                       base::BootTime newestAt) {
  if (peerVersion <= version()) {
    ConfirmedAt = std::max(ConfirmedAt, newestAt);
    return;
  }
  auto now = base::BootClock::now();
  if (OfferedVersion <= version()) {
    ProgressAt = now;
    SourceSince = now;
  }
  if (peerVersion >= OfferedVersion) {
    OfferedVersion = peerVersion;
    OfferedNewestAt = std::max(OfferedNewestAt, newestAt);
    OfferedBy = peer;
  }
  tick(now);
}

void ConfigDistribution::tick(base::BootTime now) {
  if (OfferedVersion > version() && !PieceOutstanding && now >= NextRequestAt)
    requestPiece();
}

void ConfigDistribution::requestPiece() {
  auto sources = Sources();
  if (std::ranges::find(sources, OfferedBy.Name, &PeerNode::Name) ==
      sources.end())
    sources.push_back(OfferedBy);
  const PeerNode &source = sources[SourceIndex % sources.size()];
  RequestedAt = base::BootClock::now();
  distribution::PieceRequest request{WholeTextWanted ? 0 : version(),
                                     Transfer.Header.ToVersion,
                                     Transfer.Bytes.size()};
  PieceOutstanding = true;
  Caller.call(
      source.Endpoint, ConfigPath, distribution::encode(request), PieceTimeout,
      [this, name = source.Name](const auto &body) { onPiece(body, name); });
}

void ConfigDistribution::onPiece(const std::optional<std::string> &body,
                                 const std::string &source) {
  PieceOutstanding = false;
  auto now = base::BootClock::now();
  auto piece = body ? distribution::decodePiece(*body) : std::nullopt;
  // The store, or another source, may have brought the version meanwhile.
  if (piece && piece->Header.ToVersion <= version()) {
    Transfer = {};
    retryPiece(now);
    return;
  }
  if (!piece || !distribution::acceptPiece(Transfer, *piece)) {
    retryPiece(now);
    return;
  }
  ProgressAt = now;
  SourceSince = now;
  if (distribution::isComplete(Transfer))
    completeTransfer(source);
  else
    requestPiece();
}

void ConfigDistribution::retryPiece(base::BootTime now) {
  bool timedOut = now - RequestedAt >= PieceTimeout;
  if (timedOut || now - SourceSince > SourceTimeout) {
    ++SourceIndex;
    SourceSince = now;
  }
  NextRequestAt = timedOut ? now : now + PieceRetry;
}

void ConfigDistribution::completeTransfer(const std::string &source) {
  auto complete = std::exchange(Transfer, {});
  distribution::Document base;
  if (complete.Header.FromVersion != 0)
    base = Archive.newest();
  auto document = distribution::applyPatch(
      base, {complete.Header, std::move(complete.Bytes)});
  if (document && adopt(std::move(*document), source) == Adoption::Adopted) {
    SourceIndex = 0;
    return;
  }
  Log.line("configuration_patch_rejected")
      .add("source", source)
      .add("from", static_cast<std::int64_t>(complete.Header.FromVersion))
      .add("to", static_cast<std::int64_t>(complete.Header.ToVersion));
  WholeTextWanted = true;
  retryPiece(base::BootClock::now());
}

void ConfigDistribution::servePeers(http::HttpServer &server) {
  server.handle(ConfigPath, [this](const http::HttpRequest &call,
                                   const http::ResponderPtr &responder) {
    if (auto request = distribution::decodePieceRequest(call.Body))
      onPieceRequest(*request, responder);
    else
      responder->json(HttpBadRequest, "{}");
  });
}

void ConfigDistribution::onPieceRequest(
    const distribution::PieceRequest &request,
    const http::ResponderPtr &responder) {
  const distribution::Patch *patch =
      Archive.patchFor(request.HaveVersion, request.WantedVersion);
  if (!patch) {
    responder->json(HttpNotFound, "{}");
    return;
  }
  auto now = base::BootClock::now();
  if (Pace.FreeAt - now > MaxPieceDelay) {
    responder->json(HttpUnavailable, "{}");
    return;
  }
  std::string body =
      distribution::encode(distribution::cutPiece(*patch, request));
  auto delay = distribution::admitBulk(Pace, body.size(), now);
  Loop.postAfter(delay, [responder, body = std::move(body)] {
    responder->respond(200, "application/octet-stream", body);
  });
}

} // namespace baobabpin::control
