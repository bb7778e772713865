#include "baobabpin/ctl/NodeClient.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

#include <fstream>
#include <sstream>
#include <thread>

namespace baobabpin::ctl {
namespace {

using base::ErrorType;

/// A node that is cut off is given up after this time.
constexpr std::chrono::seconds AttemptTimeout{5};
constexpr std::chrono::milliseconds RetryPause{200};
/// Stands for no limit; the greatest time point would overflow in sums.
constexpr std::chrono::hours NoLimit{24 * 365};

base::Result<std::string> readFile(const std::string &path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file || text.str().empty())
    return base::fail(ErrorType::InvalidSettings, "cannot read " + path);
  return text.str();
}

base::Result<std::shared_ptr<grpc::ChannelCredentials>>
makeCredentials(const Options &options) {
  if (options.ClearText)
    return grpc::InsecureChannelCredentials();
  grpc::SslCredentialsOptions ssl;
  BOOST_LEAF_ASSIGN(ssl.pem_root_certs, readFile(options.CaFile));
  BOOST_LEAF_ASSIGN(ssl.pem_cert_chain, readFile(options.CertificateFile));
  BOOST_LEAF_ASSIGN(ssl.pem_private_key, readFile(options.KeyFile));
  return grpc::SslCredentials(ssl);
}

} // namespace

base::Result<std::unique_ptr<NodeClient>>
NodeClient::connect(const Options &options) {
  BOOST_LEAF_AUTO(credentials, makeCredentials(options));
  grpc::ChannelArguments arguments;
  // A list of all resources exceeds gRPC's default of 4 MB.
  arguments.SetMaxReceiveMessageSize(-1);
  auto client = std::make_unique<NodeClient>();
  client->Servers = options.Servers;
  bool isEndless = options.Action == Command::Watch && !options.UntilInForce &&
                   !options.TimeoutStated;
  client->Deadline = std::chrono::system_clock::now() +
                     (isEndless ? NoLimit : options.Timeout);
  for (const auto &it : options.Servers)
    client->Stubs.push_back(proto::Resources::NewStub(
        grpc::CreateCustomChannel(it, credentials, arguments)));
  return client;
}

bool NodeClient::isLost(const grpc::Status &status) {
  return status.error_code() == grpc::StatusCode::UNAVAILABLE ||
         status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ||
         status.error_code() == grpc::StatusCode::CANCELLED;
}

WallTime NodeClient::attemptDeadline() const {
  return std::min(Deadline, std::chrono::system_clock::now() + AttemptTimeout);
}

bool NodeClient::pause() const {
  if (std::chrono::system_clock::now() + RetryPause >= Deadline)
    return false;
  std::this_thread::sleep_for(RetryPause);
  return true;
}

} // namespace baobabpin::ctl
