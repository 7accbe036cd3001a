// Counters, gauges and histograms of one process, and their Prometheus text.
// Updates are lock-free and may come from any thread. A metric must be
// registered before the threads that update it start.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_METRICS_H
#define DRAGONFLYSTALL_SRC_OBSERVE_METRICS_H

#include "dragonflystall/types.h"

#include <atomic>
#include <boost/histogram.hpp>
#include <deque>
#include <string>

namespace dragonflystall {

class Counter {
public:
  void add(uint64_t Count = 1) {
    Value_.fetch_add(Count, std::memory_order_relaxed);
  }
  uint64_t value() const { return Value_.load(std::memory_order_relaxed); }

private:
  std::atomic<uint64_t> Value_ = 0;
};

class Gauge {
public:
  void set(int64_t Value) { Value_.store(Value, std::memory_order_relaxed); }
  int64_t value() const { return Value_.load(std::memory_order_relaxed); }

private:
  std::atomic<int64_t> Value_ = 0;
};

/// The range of values that a histogram resolves. Values outside of the range
/// are counted in the first or the last bin.
struct HistogramRange {
  double Least = 0.0001;
  double Most = 100;
  unsigned Bins = 120;
};

/// Bins of equal width on a logarithmic axis.
class Histogram {
public:
  explicit Histogram(HistogramRange Range = {});

  void record(double Value) {
    Bins_(Value);
    SumMillionths_.fetch_add(static_cast<uint64_t>(Value * MillionthsPerUnit),
                             std::memory_order_relaxed);
  }
  void record(Duration Time) {
    record(std::chrono::duration<double>(Time).count());
  }
  uint64_t count() const;
  double sum() const;
  /// The upper edge of the first bin up to which the bins hold at least this
  /// share (0 to 1) of all values; 0 if there are no values.
  double quantile(double Share) const;
  /// The number of values in bins whose upper edge is at most Limit.
  uint64_t countUpTo(double Limit) const;

private:
  static constexpr double MillionthsPerUnit = 1e6;
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<
      boost::histogram::accumulators::thread_safe<uint64_t>>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> Bins_;
  std::atomic<uint64_t> SumMillionths_ = 0;
};

/// Name, help text and labels of a metric. Labels are in Prometheus syntax
/// without braces, such as `reason="malformed"`.
struct MetricName {
  std::string Name;
  std::string Help;
  std::string Labels;
};

class Metrics {
public:
  /// The counter of this name with these labels, which is registered by the
  /// first call.
  Counter &counter(MetricName Name);
  Gauge &gauge(MetricName Name);
  Histogram &histogram(MetricName Name, HistogramRange Range = {});
  /// May be called from any thread.
  std::string prometheusText() const;

private:
  template <typename T> struct Named {
    template <typename... Arguments>
    explicit Named(MetricName Name, Arguments... MetricArguments)
        : Name(std::move(Name)), Metric(MetricArguments...) {}
    MetricName Name;
    T Metric;
  };
  // Deques, so that references to their elements stay valid.
  std::deque<Named<Counter>> Counters_;
  std::deque<Named<Gauge>> Gauges_;
  std::deque<Named<Histogram>> Histograms_;
};

} // namespace dragonflystall

#endif
