// Histogram statistics and the Prometheus text format.
#include "observe/metrics.h"

#include <array>
#include <fmt/format.h>
#include <map>

namespace dragonflystall {

namespace {

/// Upper edges of the exported Prometheus buckets. The histogram's own bins are
/// finer.
constexpr std::array BucketEdges = {0.0005, 0.001, 0.0025, 0.005, 0.01,
                                    0.025,  0.05,  0.1,    0.25,  0.5,
                                    1.0,    2.5,   5.0,    10.0};

std::string inBraces(const std::string &Labels) {
  return Labels.empty() ? "" : fmt::format("{{{}}}", Labels);
}

std::string labelsWithEdge(const std::string &Labels, const std::string &Edge) {
  const std::string Comma = Labels.empty() ? "" : ",";
  return fmt::format("{{{}{}le=\"{}\"}}", Labels, Comma, Edge);
}

/// Appends the HELP and TYPE lines, once per metric name even if it has several
/// sets of labels.
void appendHeader(std::string &Text, std::string &LastName,
                  const MetricName &Name, std::string_view Type) {
  if (Name.Name == LastName)
    return;
  LastName = Name.Name;
  Text += fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", Name.Name, Name.Help,
                      Type);
}

void appendHistogram(std::string &Text, const MetricName &Name,
                     const Histogram &H) {
  for (double Edge : BucketEdges)
    Text += fmt::format("{}_bucket{} {}\n", Name.Name,
                        labelsWithEdge(Name.Labels, fmt::format("{}", Edge)),
                        H.countUpTo(Edge));
  Text += fmt::format("{}_bucket{} {}\n", Name.Name,
                      labelsWithEdge(Name.Labels, "+Inf"), H.count());
  Text +=
      fmt::format("{}_sum{} {}\n", Name.Name, inBraces(Name.Labels), H.sum());
  Text += fmt::format("{}_count{} {}\n", Name.Name, inBraces(Name.Labels),
                      H.count());
}

} // namespace

Histogram::Histogram(HistogramRange Range)
    : Bins_(std::make_tuple(Axis(Range.Bins, Range.Least, Range.Most))) {}

uint64_t Histogram::count() const {
  uint64_t Total = 0;
  for (auto &&Bin :
       boost::histogram::indexed(Bins_, boost::histogram::coverage::all))
    Total += Bin->load();
  return Total;
}

double Histogram::sum() const {
  return static_cast<double>(SumMillionths_.load()) / MillionthsPerUnit;
}

double Histogram::quantile(double Share) const {
  const uint64_t Total = count();
  if (Total == 0)
    return 0;
  const double TargetCount = Share * static_cast<double>(Total);
  uint64_t CumulativeCount = 0;
  for (auto &&Bin :
       boost::histogram::indexed(Bins_, boost::histogram::coverage::all)) {
    CumulativeCount += Bin->load();
    if (static_cast<double>(CumulativeCount) >= TargetCount)
      return Bin.bin().upper();
  }
  return Bins_.axis().value(Bins_.axis().size());
}

uint64_t Histogram::countUpTo(double Limit) const {
  uint64_t Total = 0;
  for (auto &&Bin :
       boost::histogram::indexed(Bins_, boost::histogram::coverage::all)) {
    if (Bin.bin().upper() > Limit)
      break;
    Total += Bin->load();
  }
  return Total;
}

Counter &Metrics::counter(MetricName Name) {
  for (auto &Known : Counters_)
    if (Known.Name.Name == Name.Name && Known.Name.Labels == Name.Labels)
      return Known.Metric;
  return Counters_.emplace_back(std::move(Name)).Metric;
}

Gauge &Metrics::gauge(MetricName Name) {
  return Gauges_.emplace_back(std::move(Name)).Metric;
}

Histogram &Metrics::histogram(MetricName Name, HistogramRange Range) {
  return Histograms_.emplace_back(std::move(Name), Range).Metric;
}

std::string Metrics::prometheusText() const {
  std::string Text;
  std::string LastName;
  // The format asks for all lines of a metric in one group. Counters of the
  // same name may be registered at different times.
  std::map<std::string, std::string> Lines;
  for (const auto &Entry : Counters_)
    Lines[Entry.Name.Name] +=
        fmt::format("{}{} {}\n", Entry.Name.Name, inBraces(Entry.Name.Labels),
                    Entry.Metric.value());
  for (const auto &Entry : Counters_) {
    const auto Group = Lines.extract(Entry.Name.Name);
    if (Group.empty())
      continue;
    appendHeader(Text, LastName, Entry.Name, "counter");
    Text += Group.mapped();
  }
  for (const auto &Entry : Gauges_) {
    appendHeader(Text, LastName, Entry.Name, "gauge");
    Text += fmt::format("{}{} {}\n", Entry.Name.Name,
                        inBraces(Entry.Name.Labels), Entry.Metric.value());
  }
  for (const auto &Entry : Histograms_) {
    appendHeader(Text, LastName, Entry.Name, "histogram");
    appendHistogram(Text, Entry.Name, Entry.Metric);
  }
  return Text;
}

} // namespace dragonflystall
