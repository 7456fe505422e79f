#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context; // NOLINT(readability-identifier-naming)
} // namespace boost::asio

namespace foxtailwheel::http {

/// @brief Threads that carry out input and output.
class IoPool {
public:
    /// @brief Starts `threads` threads.
    static std::unique_ptr<IoPool> create(std::size_t threads);
    ~IoPool();
    IoPool(const IoPool&) = delete;
    IoPool& operator=(const IoPool&) = delete;

    /// @brief Runs `work` on some thread of the pool.
    void post(std::function<void()> work);
    /// @brief Runs `work` on some thread of the pool after `delay`.
    void after(Duration delay, std::function<void()> work);
    /// @brief Runs `work` once the process gets SIGTERM or SIGINT, each time with the count of signals so far.
    void onTerminate(std::function<void(int)> work);
    /// @brief Runs `work` each time the process gets SIGHUP.
    void onReload(std::function<void()> work);
    /// @brief Stops all work and joins the threads; called by the destructor too.
    void stop();
    /// @brief The context that the threads run.
    boost::asio::io_context& context();
    /// @brief The same, kept alive by its holder: what uses it may be destroyed after the pool.
    std::shared_ptr<boost::asio::io_context> sharedContext();

private:
    struct Impl;
    explicit IoPool(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::http
