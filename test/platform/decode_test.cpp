#include "platform/decode.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace camphormux::platform {
namespace {

constexpr const char* kId = "5c0e7a21d94b36f8";

std::string InvalidField(const std::string& body) {
  const auto decoded = DecodeJob(kId, {"q"}, body);
  const auto* problem = std::get_if<workload::FieldProblem>(&decoded);
  return problem == nullptr ? "" : problem->field;
}

// Guards against a step property that is lost between the request body and the
// scheduler.
TEST(DecodeTest, DecodesAllJobProperties) {
  const auto decoded =
      DecodeJob(kId, {"q"},
                R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,
      "estRuntimeMs":900,"affinity":"r1-3","speculative":true},
      {"count":5,"cpu":2000,"after":[0],"longRunning":true,"antiAffinity":1,
      "mayMiss":1,"targetMs":40,"image":"i","fills":true,
      "requiredLabel":"a","gang":true,"colocated":true,
      "checkpointing":true}]})");
  const auto* spec = std::get_if<workload::JobSpec>(&decoded);
  ASSERT_NE(spec, nullptr);
  EXPECT_EQ(spec->steps[0].data_rack.value, "r1-3");
  EXPECT_TRUE(spec->steps[0].speculative);
  const workload::Step& second = spec->steps[1];
  EXPECT_EQ(second.after, std::vector<std::uint32_t>{0});
  EXPECT_TRUE(second.permanent && second.best_effort && second.gang &&
              second.colocated && second.checkpoints);
  EXPECT_EQ(second.max_unavailable, 1U);
  EXPECT_EQ(second.max_per_host, 1U);
  EXPECT_EQ(second.latency_target, core::Millis(40));
}

// Guards against malformed jobs that are stored, and against errors that do not
// name the invalid field.
TEST(DecodeTest, RejectsMalformedJobWithFieldName) {
  EXPECT_EQ(InvalidField("nonsense"), "body");
  EXPECT_EQ(InvalidField(R"({"spec":"x"})"), "steps");
  EXPECT_EQ(InvalidField(R"({"spec":5,"steps":[{"count":1}]})"), "spec");
  EXPECT_EQ(InvalidField(R"({"steps":[{"count":0}]})"), "steps[0].count");
  EXPECT_EQ(InvalidField(R"({"steps":[{"count":"many"}]})"), "steps[0].count");
  EXPECT_EQ(InvalidField(R"({"steps":[{"count":1,"cpu":-5}]})"),
            "steps[0].cpu");
  EXPECT_EQ(InvalidField(R"({"steps":[{"count":1,"after":[0]}]})"),
            "steps[0].after");
  EXPECT_EQ(InvalidField(R"({"steps":[{"count":1,"gang":"yes"}]})"),
            "steps[0].gang");
}

// Guards against hosts that are taken from malformed entries of other writers.
TEST(DecodeTest, RejectsMalformedHostEntry) {
  const std::string valid =
      R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"z",
      "state":"ready","capacity":{"cpu":16000,"memMb":32768,"gpu":0},
      "labels":["a","r1-3"],"born":1700000000123,"future":[1]})";
  const auto host = DecodeHostListing("i-1", valid);
  ASSERT_TRUE(host);
  EXPECT_EQ(host->listing.incarnation.value, 1'700'000'000'123U);
  EXPECT_EQ(host->listing.rack.value, "r1-3");
  EXPECT_FALSE(DecodeHostListing("i-1", "\xff\x00garbage"));
  EXPECT_FALSE(DecodeHostListing("i-1", R"({"service":"s","state":"ready"})"));
  EXPECT_FALSE(DecodeHostListing(
      "i-1", R"({"service":"s","address":"10.0.0.1:1","state":"asleep",
      "capacity":{"cpu":1}})"));
  EXPECT_FALSE(DecodeHostListing(
      "i-1", R"({"service":7,"address":"10.0.0.1:1","state":"ready",
      "capacity":{"cpu":1}})"));
}

/// Encodes a host's entry with one field replaced or added.
std::string HostEntry(const std::string& field, const std::string& value) {
  std::map<std::string, std::string> fields{
      {"service", R"("s")"},
      {"address", R"("10.0.0.1:8080")"},
      {"state", R"("ready")"},
      {"capacity", R"({"cpu":16000,"memMb":32768})"},
      {"born", "1700000000123"}};
  fields[field] = value;
  std::string text;
  for (const auto& [name, member] : fields) {
    text += text.empty() ? "{\"" : ",\"";
    text += name;
    text += "\":";
    text += member;
  }
  return text + "}";
}

// Guards against processes that end because of one entry of another writer.
TEST(DecodeTest, RejectsDeeplyNestedHostEntry) {
  constexpr std::size_t kDepth = 100'000;
  EXPECT_TRUE(DecodeHostListing("i-1", HostEntry("extra", "[[1]]")));
  EXPECT_FALSE(DecodeHostListing(
      "i-1",
      HostEntry("extra", std::string(kDepth, '[') + std::string(kDepth, ']'))));
  EXPECT_FALSE(
      DecodeHostListing("i-1", HostEntry("extra", std::string(kDepth, '['))));
  EXPECT_TRUE(DecodeHostListing(
      "i-1", HostEntry("extra", "\"" + std::string(kDepth, '[') + "\"")));
}

// Guards against numbers that are outside of their range: their conversion is
// undefined, or they become another host's amounts.
TEST(DecodeTest, RejectsHostEntryWithANumberOutOfRange) {
  for (const char* amount :
       {"1e300", "-1", "18446744073709551615", "9223372036854775808", "1e400",
        "123456789012345678901234567890", "-1e300", "0.5"}) {
    EXPECT_FALSE(DecodeHostListing(
        "i-1", HostEntry("capacity", std::string("{\"cpu\":") + amount + "}")))
        << amount;
    EXPECT_FALSE(DecodeHostListing("i-1", HostEntry("born", amount))) << amount;
  }
  EXPECT_FALSE(DecodeHostListing("i-1", HostEntry("born", R"("now")")));
}

// Guards against calls to an address that is none, and against name look-ups.
TEST(DecodeTest, RejectsHostEntryWithAnInvalidAddress) {
  for (const char* address :
       {"10.0.0.1:70000", "10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1",
        "10.0.0.1:80x", "10.0.0.1:", "10.0.0.1", "host:80", ":80",
        "10.0.0.1/x:80", "10.0.0.1:4294967376"}) {
    EXPECT_FALSE(DecodeHostListing(
        "i-1", HostEntry("address", "\"" + std::string(address) + "\"")))
        << address;
  }
}

// Guards against ids that break the header or the message that carries them.
TEST(DecodeTest, RejectsHostEntryWithAnIdThatIsNotPrintable) {
  const std::string entry = HostEntry("zone", R"("z")");
  EXPECT_TRUE(DecodeHostListing("i-252c85fc5b", entry));
  EXPECT_FALSE(DecodeHostListing("", entry));
  EXPECT_FALSE(DecodeHostListing("i-1\r\nX: y", entry));
  EXPECT_FALSE(DecodeHostListing("i 1", entry));
  EXPECT_FALSE(DecodeHostListing("\xff\xfe", entry));
}

TEST(DecodeTest, DecodesRunsReportedByHost) {
  const auto body = ParseObject(
      R"({"running":[["5c0e7a21d94b36f8.0.1.17",2,"00ab",41,7],["x",1,"",0]],
      "finished":[[58,"5c0e7a21d94b36f8.3.1.9",1,"broken","c"],[59,"x",1,"?"]]})");
  const auto running = DecodeRunningRuns(*body);
  ASSERT_EQ(running.size(), 1U);
  EXPECT_EQ(running[0].name.place, (workload::TaskPlace{0, 1, 17}));
  EXPECT_EQ(running[0].percent, 41);
  EXPECT_EQ(running[0].load, 7);
  const auto ended = DecodeEndedRuns(*body);
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].number.value, 58U);
  EXPECT_EQ(ended[0].kind, scheduler::EndKind::kBroken);
  EXPECT_EQ(FormatTaskName(ended[0].name), "5c0e7a21d94b36f8.3.1.9");
}

// Guards against read offsets that no longer match the log after a malformed
// record of another writer.
TEST(DecodeTest, MalformedRecordTakesAnOffset) {
  std::string data(16, '\0');
  AppendEncodedRecord(data, "config", "value");
  data += std::string("\0\0\0\1\x09", 5);  // Its key is cut off.
  AppendEncodedRecord(data, "gone", std::nullopt);
  const auto page = DecodeRecordPage(data);
  ASSERT_TRUE(page);
  ASSERT_EQ(page->records.size(), 3U);
  EXPECT_EQ(page->records[0].value, "value");
  EXPECT_FALSE(page->records[1].value);
  EXPECT_EQ(page->records[2].key, "gone");
}

// Guards against a wave that is reported as complete without a machine: one
// that is not listed counts as gone.
TEST(DecodeTest, MachineWithALongIdIsListed) {
  const std::string id(300, 'm');
  const auto page = DecodeMachinePage(R"({"machines":[{"machine":")" + id +
                                      R"(","pool":"p","state":"up"}]})");
  ASSERT_TRUE(page);
  ASSERT_EQ(page->machines.size(), 1U);
  EXPECT_EQ(page->machines[0].id.value, id);
}

/// Decodes a configuration with client accounts.
/// @param problem Receives the first malformed field; empty if there is none.
workload::Catalog Accounts(const std::string& accounts, std::string& problem) {
  std::vector<workload::FieldProblem> problems;
  auto catalog =
      DecodeCatalog(R"({"version":1,"tenants":)" + accounts + "}", problems);
  problem = problems.empty() ? "" : problems.front().field;
  return catalog.value_or(workload::Catalog{});
}

// Guards against an account whose key, weight or cap is not the configured one.
TEST(DecodeTest, DecodesAccounts) {
  std::string problem;
  const workload::Catalog catalog = Accounts(
      R"([{"name":"a","apiKeys":["k1","k2"],"weight":2.5,
      "cap":{"cpu":4000,"memMb":512,"gpu":1}},
      {"name":"b","apiKeys":["k3"],"weight":null,"cap":null}])",
      problem);
  EXPECT_EQ(problem, "");
  EXPECT_TRUE(catalog.needs_keys);
  EXPECT_EQ(catalog.keys.at(workload::DigestOf("k2")).value, "a");
  EXPECT_EQ(catalog.keys.at(workload::DigestOf("k3")).value, "b");
  EXPECT_EQ(catalog.accounts.at({"a"}).weight, 2.5);
  EXPECT_EQ(catalog.accounts.at({"a"}).cap,
            (placement::Resources{{4000}, {512}, {1}}));
  EXPECT_EQ(catalog.accounts.at({"b"}), (workload::Account{{"b"}, 1.0, {}}));
  EXPECT_FALSE(Accounts("[]", problem).needs_keys);
  EXPECT_FALSE(Accounts("null", problem).needs_keys);
}

// Guards against a malformed entry that lets callers in or lifts a cap.
TEST(DecodeTest, MalformedAccountsPermitNobody) {
  const std::vector<std::pair<const char*, const char*>> cases{
      {R"("all")", "tenants"},
      {"[7]", "tenants[0]"},
      {R"([{"apiKeys":["k"]}])", "tenants[0].name"},
      {R"([{"name":"a","apiKeys":"k"}])", "tenants[0].apiKeys"},
      {R"([{"name":"a","apiKeys":[7,""]}])", "tenants[0].apiKeys[0]"},
      {R"([{"name":"a","apiKeys":["k"],"cap":{"cpu":"4"}}])", "tenants[0].cap"},
      {R"([{"name":"a","apiKeys":["k"],"cap":9}])", "tenants[0].cap"},
      {R"([{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k"]},
      {"name":"c","apiKeys":["k"]}])",
       "tenants[1].apiKeys[0]"}};
  for (const auto& [accounts, field] : cases) {
    std::string problem;
    const workload::Catalog catalog = Accounts(accounts, problem);
    EXPECT_EQ(problem, field);
    EXPECT_TRUE(catalog.needs_keys) << accounts;
    EXPECT_TRUE(catalog.keys.empty()) << accounts;
  }
}

// Guards against keys of two accounts of the same name that share one cap.
TEST(DecodeTest, SecondAccountOfANameIsLeftOut) {
  std::string problem;
  const workload::Catalog catalog =
      Accounts(R"([{"name":"a","apiKeys":["k1"],"cap":{"cpu":1}},
      {"name":"a","apiKeys":["k2"]}])",
               problem);
  EXPECT_EQ(problem, "tenants[1].name");
  EXPECT_EQ(catalog.accounts.at({"a"}).cap.cores.value, 1);
  EXPECT_FALSE(catalog.keys.contains(workload::DigestOf("k2")));
}

// Guards against an account refused for its weight, and division by 0.
TEST(DecodeTest, MalformedWeightCountsAsOne) {
  for (const char* weight : {"-1", "0", R"("2")"}) {
    std::string problem;
    const workload::Catalog catalog =
        Accounts(std::string(R"([{"name":"a","apiKeys":["k"],"weight":)") +
                     weight + "}]",
                 problem);
    EXPECT_EQ(problem, "tenants[0].weight");
    EXPECT_EQ(catalog.accounts.at({"a"}).weight, 1.0);
    EXPECT_EQ(catalog.keys.size(), 1U);
  }
}

RC_GTEST_PROP(DecodePropertyTest, NoDecoderThrows, (const std::string& bytes)) {
  std::vector<workload::FieldProblem> problems;
  (void)DecodeCatalog(bytes, problems);
  (void)DecodeWave(bytes);
  (void)DecodeHostListing("i-1", bytes);
  (void)DecodeMachinePage(bytes);
  (void)DecodeJob(kId, {"q"}, bytes);
  (void)DecodeRecordPage(bytes);
  (void)DecodeNewestPage(bytes);
}

}  // namespace
}  // namespace camphormux::platform
