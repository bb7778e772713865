/// Sends answers with the delays and faults of AnswerFaults.h.
#pragma once

#include "baobabpin/http/HttpServer.h"
#include "standins/common/DelayedCalls.h"
#include "standins/upstream/AnswerFaults.h"

#include <utility>

namespace standins::upstream {

class AnswerSender {
public:
  explicit AnswerSender(baobabpin::kernel::EventLoop &loop)
      : Loop(loop), Calls(loop) {}

  AnswerFaults &faults() { return Faults; }

  void send(const baobabpin::http::ResponderPtr &responder,
            OutgoingAnswer answer) {
    Delivery delivery = decideDelivery(Faults, Loop.now(), std::move(answer));
    auto deliver = [responder, body = std::move(delivery.Body),
                    isDropped = delivery.IsDropped] {
      if (isDropped)
        responder->abort();
      else
        responder->json(200, body);
    };
    if (delivery.Delay > baobabpin::base::Duration::zero())
      Calls.after(delivery.Delay, std::move(deliver));
    else
      deliver();
  }

private:
  baobabpin::kernel::EventLoop &Loop;
  AnswerFaults Faults;
  common::DelayedCalls Calls;
};

} // namespace standins::upstream
