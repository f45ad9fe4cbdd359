// Measures the processor time per request of the HTTP client, against a server
// on another thread of the same process. The server thread does not count.
#include <ctime>
#include <iostream>
#include <string>
#include <thread>

#include <asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include "camphormux/http/client.hpp"
#include "camphormux/http/server.hpp"

DEFINE_int32(requests, 20'000, "Total number of requests.");
DEFINE_int32(parallel, 8, "Number of requests in flight at the same time.");
DEFINE_int32(port, 18'431, "TCP port of the server on the loopback interface.");

namespace camphormux::http {
namespace {

double ThreadCpuMicros() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

int RunBenchmark() {
  const core::Address address{"127.0.0.1",
                              static_cast<std::uint16_t>(FLAGS_port)};
  asio::io_context server_loop{1};
  Server server(server_loop, address,
                [](const ServerRequest&, const Respond& respond) {
                  ServerResponse response;
                  response.body = R"({"clockMs":482113})";
                  respond(response);
                });
  std::jthread server_thread([&] { server_loop.run(); });
  asio::io_context loop{1};
  Client client(loop);
  int sent = 0;
  int answered = 0;
  int failed = 0;
  std::function<void()> send = [&] {
    if (sent >= FLAGS_requests) {
      return;
    }
    ++sent;
    ClientRequest request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(FLAGS_port) + "/start";
    request.headers = {{"Content-Type", "application/json"},
                       {"Expected-Instance", "i-1"}};
    request.body = std::string(300, 'x');
    request.timeout = core::Millis(900);
    request.reuse = ConnectionReuse::kOnce;
    client.Send(std::move(request), [&](const ClientResult& result) {
      failed += result ? 0 : 1;
      ++answered;
      if (answered == FLAGS_requests) {
        loop.stop();
      }
      send();
    });
  };
  const double start_us = ThreadCpuMicros();
  for (int i = 0; i < FLAGS_parallel; ++i) {
    send();
  }
  loop.run();
  std::cout << answered << " answers, " << failed << " failed, "
            << (ThreadCpuMicros() - start_us) / answered
            << " us of processor time a request\n";
  server_loop.stop();
  return 0;
}

}  // namespace
}  // namespace camphormux::http

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return camphormux::http::RunBenchmark();
}
