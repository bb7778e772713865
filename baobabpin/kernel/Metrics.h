/// The metrics of a process, kept by prometheus-cpp.
///
/// \code
///   auto &n = metrics.counter("baobabpin_reads_total", "Reads.",
///                             {{"target", "replica"}});
///   n.Increment();
/// \endcode
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace baobabpin::kernel {

using MetricLabels = std::map<std::string, std::string>;

class Metrics {
public:
  /// Returns the counter with this name and these labels, which is created on
  /// the first call. For every type of metric, the same name and labels return
  /// the same metric. The references that this class returns stay valid as long
  /// as this object.
  prometheus::Counter &counter(const std::string &name, const std::string &help,
                               const MetricLabels &labels = {});
  prometheus::Gauge &gauge(const std::string &name, const std::string &help,
                           const MetricLabels &labels = {});
  /// \p bounds are the upper bounds of the buckets, in the unit that the name
  /// ends with, such as _seconds.
  prometheus::Histogram &
  histogram(const std::string &name, const std::string &help,
            const prometheus::Histogram::BucketBoundaries &bounds,
            const MetricLabels &labels = {});

  /// Returns all metrics in the Prometheus text format.
  std::string render() const;

private:
  prometheus::Registry Registry;
};

} // namespace baobabpin::kernel
