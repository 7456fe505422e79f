#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context; // NOLINT(readability-identifier-naming)
} // namespace boost::asio

namespace foxtailwheel::http {

/// @brief Pool of threads that run one Asio I/O context.
class IoPool {
public:
    /// @brief Creates the pool and starts `threads` threads.
    static std::unique_ptr<IoPool> create(std::size_t threads);
    ~IoPool();
    IoPool(const IoPool&) = delete;
    IoPool& operator=(const IoPool&) = delete;

    /// @brief Runs `work` on a thread of the pool.
    void post(std::function<void()> work);
    /// @brief Runs `work` on a thread of the pool after `delay`.
    void postAfter(Duration delay, std::function<void()> work);
    /// @brief Runs `work` on each SIGTERM or SIGINT, with the number of these signals received so far.
    void onTerminate(std::function<void(int)> work);
    /// @brief Runs `work` on each SIGHUP.
    void onReload(std::function<void()> work);
    /// @brief Stops the context without running pending work and joins the threads; also called by the destructor.
    void stop();
    /// @brief Returns the context that the threads run.
    boost::asio::io_context& context();
    /// @brief Returns shared ownership of the context, for objects that use it and may be destroyed after the pool.
    std::shared_ptr<boost::asio::io_context> sharedContext();

private:
    struct Impl;
    explicit IoPool(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::http
