#ifndef TEST_PLATFORM_WAIT_FOR_HPP_
#define TEST_PLATFORM_WAIT_FOR_HPP_

#include <chrono>
#include <functional>
#include <optional>
#include <utility>

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

namespace camphormux::platform {

/// Runs the loop until a call has returned its result.
/// @param loop The event loop.
/// @param call Starts the call; its argument takes the result.
template <typename T>
T WaitFor(asio::io_context& loop,
          const std::function<void(std::function<void(T)>)>& call) {
  std::optional<T> result;
  call([&](T value) { result = std::move(value); });
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!result && std::chrono::steady_clock::now() < end) {
    loop.restart();
    loop.run_one_for(std::chrono::milliseconds(50));
  }
  EXPECT_TRUE(result);
  return result.value_or(T{});
}

}  // namespace camphormux::platform

#endif  // TEST_PLATFORM_WAIT_FOR_HPP_
