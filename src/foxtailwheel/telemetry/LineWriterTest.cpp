#include "foxtailwheel/telemetry/LineWriter.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

struct Pipe {
    Pipe()
    {
        cr_assert_eq(pipe(ends), 0);
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string read() const
    {
        std::string out;
        std::string buf(65536, '\0');
        for (;;) {
            const auto n = ::read(ends[0], buf.data(), buf.size());
            if (n <= 0)
                return out;
            out.append(buf, 0, static_cast<std::size_t>(n));
        }
    }

    int ends[2] {};
};

} // namespace

Test(LineWriter, writesCompleteLinesInOrder)
{
    const Pipe pipe;
    telemetry::LineWriter writer(pipe.ends[1], 1U << 16U);
    std::string expected;
    for (int i = 0; i < 500; ++i) {
        writer.add("event=e n=" + std::to_string(i));
        expected += "event=e n=" + std::to_string(i) + "\n";
    }
    writer.flush();
    cr_assert_eq(pipe.read(), expected);
}

Test(LineWriter, countsLinesLostToAWriteError)
{
    const int fd = open("/dev/full", O_WRONLY);
    cr_assert_geq(fd, 0);
    telemetry::LineWriter writer(fd, 1U << 16U);
    for (int i = 0; i < 10; ++i)
        writer.add("event=e");
    writer.flush();
    cr_assert_eq(writer.droppedLines(), 10);
    close(fd);
}

Test(LineWriter, dropsLinesInsteadOfBlockingOnAStalledReader)
{
    const Pipe pipe;
    telemetry::LineWriter writer(pipe.ends[1], 1U << 16U);
    const std::string line(100, 'x');
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 100000; ++i)
        writer.add(line);
    cr_assert_lt(std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count(), 2);
    cr_assert_gt(writer.droppedLines(), 90000);
    pipe.read();
    writer.flush();
    pipe.read();
    writer.add("event=after");
    writer.flush();
    const auto text = pipe.read();
    cr_assert(text.find("event=lines_dropped count=" + std::to_string(writer.droppedLines())) != std::string::npos);
    cr_assert(text.find("event=after") != std::string::npos);
}

Test(LogRateLimiter, limitsEachEventSeparatelyAndCountsSuppressedLines)
{
    telemetry::LogRateLimiter limiter(10, 20);
    const TimePoint start(1h);
    int admitted = 0;
    for (int i = 0; i < 100; ++i)
        admitted += limiter.tryAcquire("busy", start) ? 1 : 0;
    cr_assert_eq(admitted, 20);
    cr_assert(limiter.tryAcquire("rare", start));
    cr_assert_eq(limiter.drainSuppressedCounts().at("busy"), 80);
    cr_assert(limiter.drainSuppressedCounts().empty());
    cr_assert(limiter.tryAcquire("busy", start + 100ms));
}
