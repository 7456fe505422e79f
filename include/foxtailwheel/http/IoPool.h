#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace boost::asio {
class io_context; // NOLINT(readability-identifier-naming)
} // namespace boost::asio

namespace foxtailwheel::http {

/// @brief Pool of threads that run one Asio I/O context.
class IoPool {
public:
    /// @brief Called with the message of an exception that ended a piece of work; may run on any thread of the pool.
    using ErrorHandler = std::function<void(std::string_view)>;

    /// @brief Creates the pool and starts `threads` threads.
    /// @param onError Other work goes on after it. If empty, an exception ends the process.
    static std::unique_ptr<IoPool> create(std::size_t threads, ErrorHandler onError = {});
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
    /// @brief Returns the handler of exceptions; may be empty.
    const ErrorHandler& errorHandler() const;
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
