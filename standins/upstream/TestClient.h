/// Test support: a connection to a server, with the loop run until each answer.
#pragma once

#include "baobabpin/http/HttpClient.h"
#include "standins/upstream/Messages.h"

#include <chrono>
#include <string>
#include <utility>

namespace standins::upstream::testing {

struct TestClient {
  TestClient(baobabpin::kernel::EventLoop &loop,
             const baobabpin::http::Endpoint &endpoint)
      : Loop(loop), Connection(loop, endpoint) {}

  json call(const std::string &path, const json &body) {
    baobabpin::http::HttpReply reply;
    Connection.post(path, dumpJson(body), std::chrono::seconds(10),
                    [&](baobabpin::http::HttpReply it) {
                      reply = std::move(it);
                      Loop.stop();
                    });
    Loop.run();
    IsBroken = reply.Result != baobabpin::http::Transfer::Completed;
    return json::parse(reply.Body, nullptr, false);
  }

  json write(int id, const std::string &text, TermNumber term = 1) {
    return call("/v1/execute", {{"id", id},
                                {"term", term},
                                {"kind", "write"},
                                {"statement", text},
                                {"request_id", request(id)}});
  }

  static std::string request(int id) {
    using namespace std::chrono;
    static const auto Now =
        duration_cast<milliseconds>(system_clock::now().time_since_epoch());
    return std::to_string(Now.count()) + "-" + std::to_string(id);
  }

  baobabpin::kernel::EventLoop &Loop;
  baobabpin::http::HttpConnection Connection;
  bool IsBroken = false;
};

} // namespace standins::upstream::testing
