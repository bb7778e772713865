#include "baobabpin/kernel/Metrics.h"

#include <prometheus/text_serializer.h>

namespace baobabpin::kernel {

prometheus::Counter &Metrics::counter(const std::string &name,
                                      const std::string &help,
                                      const MetricLabels &labels) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(Registry)
      .Add(labels);
}

prometheus::Gauge &Metrics::gauge(const std::string &name,
                                  const std::string &help,
                                  const MetricLabels &labels) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(Registry).Add(
      labels);
}

prometheus::Histogram &
Metrics::histogram(const std::string &name, const std::string &help,
                   const prometheus::Histogram::BucketBoundaries &bounds,
                   const MetricLabels &labels) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(Registry)
      .Add(labels, bounds);
}

std::string Metrics::render() const {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace baobabpin::kernel
