#ifndef BENCH_SLOPES_POINTS_HPP_
#define BENCH_SLOPES_POINTS_HPP_

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <malloc.h>
#include <time.h>

namespace camphormux::bench {

/// @brief A quantity that is measured at several sizes; `tools/slopes` fits a
/// line through its points.
struct Series {
  std::string name;
  std::string unit;       ///< Unit of the measured value.
  std::string dimension;  ///< What the size counts, such as hosts.
  double target = 0;      ///< Size at which the limit applies.
  double limit = 0;       ///< docs/design.md, section 1; 0 means no limit.
};

/// @brief Prints one point as tab-separated values and flushes stdout.
/// @param series The series that the point belongs to.
/// @param size Size of the fleet, in the dimension of the series.
/// @param value Measured value, in the unit of the series.
inline void PrintPoint(const Series& series, double size, double value) {
  std::printf("POINT\t%s\t%s\t%s\t%.0f\t%.6g\t%.0f\t%g\n", series.name.c_str(),
              series.unit.c_str(), series.dimension.c_str(), size, value,
              series.target, series.limit);
  std::fflush(stdout);
}

/// @return Processor time of the calling thread, in milliseconds. Unlike
/// wall-clock time, it excludes waiting for a processor on a busy machine.
[[nodiscard]] inline double ThreadCpuMillis() {
  constexpr double kMillisPerSecond = 1e3;
  constexpr double kNanosPerMilli = 1e6;
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kMillisPerSecond +
         static_cast<double>(time.tv_nsec) / kNanosPerMilli;
}

/// @brief Measures the median processor time of an action over 15 runs.
/// @param action Called once per run.
/// @return Median, in milliseconds.
template <typename Action>
[[nodiscard]] double MedianCpuMillis(const Action& action) {
  constexpr std::size_t kRuns = 15;
  std::vector<double> times;
  for (std::size_t i = 0; i < kRuns; ++i) {
    const double start = ThreadCpuMillis();
    action();
    times.push_back(ThreadCpuMillis() - start);
  }
  std::sort(times.begin(), times.end());
  return times[kRuns / 2];
}

/// @return Bytes that the program has allocated on the heap.
[[nodiscard]] inline double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace camphormux::bench

#endif  // BENCH_SLOPES_POINTS_HPP_
