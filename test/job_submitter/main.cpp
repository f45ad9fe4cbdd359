// Command line tool that appends job submissions or cancellations to the log,
// as teams do.
#include <iostream>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <gflags/gflags.h>

#include "camphormux/http/client.hpp"
#include "camphormux/jobs/codec.hpp"
#include "camphormux/log/appender.hpp"
#include "camphormux/log/http_log_port.hpp"
#include "camphormux/settings/reader.hpp"

DEFINE_string(platform, "127.0.0.1:7000",
              "IP address and port of the platform");
DEFINE_string(prefix, "job", "jobs are named PREFIX-1, PREFIX-2, ...");
DEFINE_uint64(count, 1, "number of jobs");
DEFINE_bool(cancel, false, "cancel the jobs instead of submitting them");
DEFINE_string(team, "", "team of the jobs");
DEFINE_string(pool, "", "pool whose hosts the jobs may use");
DEFINE_string(zone, "", "the only zone that may run the jobs; empty: any");
DEFINE_int64(cores_milli, 1000, "declared CPU cores in millicores");
DEFINE_int64(memory_mib, 256, "declared memory in MiB");
DEFINE_bool(urgent, false, "whether the jobs are urgent");
DEFINE_bool(preemptible, true, "whether the jobs may be preempted");
DEFINE_bool(repeatable, true, "whether the jobs may be run more than once");

namespace camphormux::jobs {
namespace {

Record MakeRecord(std::uint64_t number) {
  const core::JobId id{FLAGS_prefix + "-" + std::to_string(number)};
  if (FLAGS_cancel) return Cancel{id, {FLAGS_team}};
  Submit submit;
  submit.spec.id = id;
  submit.spec.team.value = FLAGS_team;
  submit.spec.kind = FLAGS_prefix;
  submit.spec.priority = FLAGS_urgent ? placement::Priority::kUrgent
                                      : placement::Priority::kNormal;
  submit.spec.preemptible = FLAGS_preemptible;
  submit.spec.repeatable = FLAGS_repeatable;
  submit.spec.declared = {{FLAGS_cores_milli}, {FLAGS_memory_mib}, {0}};
  submit.spec.pool.value = FLAGS_pool;
  if (!FLAGS_zone.empty()) submit.zone = core::ZoneName{FLAGS_zone};
  return submit;
}

int Run() {
  const auto platform = settings::ParseAddress(FLAGS_platform);
  if (!platform || FLAGS_team.empty()) {
    std::cerr << "--platform expects IP:PORT; --team is required\n";
    return 2;
  }
  asio::io_context loop;
  http::Client client(loop);
  log::Appender appender(loop, log::MakeHttpLogPort(client, *platform),
                         log::kJobStream);
  constexpr std::uint64_t kRecordsPerEntry = 100;
  bool failed = false;
  for (std::uint64_t first = 1; first <= FLAGS_count;
       first += kRecordsPerEntry) {
    std::vector<Record> records;
    for (std::uint64_t i = first;
         i < first + kRecordsPerEntry && i <= FLAGS_count; ++i) {
      records.push_back(MakeRecord(i));
    }
    appender.Append(EncodeRecords(records),
                    [&failed](const log::AppendResult& result) {
                      failed = failed || !result.has_value();
                    });
  }
  while (appender.queued() > 0) {
    loop.restart();
    loop.run_one_for(std::chrono::seconds(1));
  }
  if (failed) std::cerr << "the log did not confirm all records\n";
  return failed ? 1 : 0;
}

}  // namespace
}  // namespace camphormux::jobs

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  try {
    return camphormux::jobs::Run();
  } catch (const std::exception& error) {
    std::cerr << "camphormux-submit-jobs: " << error.what() << "\n";
    return 1;
  }
}
