#include "baobabpin/kernel/Kernel.h"

#include <glog/logging.h>

namespace baobabpin::kernel {

Kernel::Kernel(std::string process) : Log(std::move(process)) {}

Kernel::~Kernel() {
  stopAll();
  while (!Services.empty())
    Services.pop_back();
}

void Kernel::add(std::unique_ptr<Service> service) {
  CHECK(!findService(service->name()))
      << "another service already has the name " << service->name();
  Services.push_back(std::move(service));
}

base::Result<void> Kernel::startAll() {
  for (; StartedCount < Services.size(); ++StartedCount) {
    auto started = Services[StartedCount]->start(*this);
    if (!started) {
      stopAll();
      return started;
    }
    Log.record("service_started",
               {{"service", std::string(Services[StartedCount]->name())}});
  }
  return {};
}

void Kernel::stopAll() {
  while (StartedCount > 0) {
    --StartedCount;
    Services[StartedCount]->stop();
  }
}

Service *Kernel::findService(std::string_view name) {
  for (const auto &it : Services) {
    if (it->name() == name)
      return it.get();
  }
  return nullptr;
}

void Kernel::failLookup(std::string_view name) {
  LOG(FATAL) << "no service of the expected type is named " << name;
}

} // namespace baobabpin::kernel
