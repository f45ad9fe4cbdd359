#include "camphormux/log/appender.hpp"

#include <random>
#include <utility>

#include "camphormux/log/batch.hpp"

namespace camphormux::log {

struct Appender::Impl {
  LogPort port;
  std::string stream;
  AppenderOptions options;
  std::uint64_t next_batch = 0;
};

Appender::Appender(asio::io_context& /*loop*/, LogPort port, std::string stream,
                   AppenderOptions options)
    : impl_(std::make_shared<Impl>(
          Impl{std::move(port), std::move(stream), std::move(options)})) {
  if (impl_->options.writer.empty()) {
    std::random_device device;
    impl_->options.writer =
        std::to_string((static_cast<std::uint64_t>(device()) << 32) | device());
  }
}

Appender::~Appender() = default;

void Appender::Append(std::string entry,
                      std::function<void(AppendResult)> done) {
  const std::string id =
      impl_->options.writer + "-" + std::to_string(impl_->next_batch++);
  impl_->port.append(impl_->stream, EncodeBatch({id, {std::move(entry)}}),
                     [weak = std::weak_ptr<Impl>(impl_),
                      done = std::move(done)](AppendResult result) {
                       if (!weak.expired()) {
                         done(result);
                       }
                     });
}

}  // namespace camphormux::log
