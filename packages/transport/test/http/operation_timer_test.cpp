#include <ggv/transport/http/detail/operation_timer.hpp>

#include <net/raw_socket.hpp>

#include <array>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using namespace ggv::test;
namespace asio = boost::asio;
using asio::ip::tcp;

class OperationTimerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperationTimerTest);
    CPPUNIT_TEST(operationStartedAfterTheDeadlineIsCancelled);
    CPPUNIT_TEST_SUITE_END();

public:
    // A composed read starts its next step after the deadline if data arrives at the same time as
    // the deadline. A single cancellation would miss that step.
    void operationStartedAfterTheDeadlineIsCancelled()
    {
        asio::io_context context;
        tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
        const auto peer = RawSocket::connect(context, acceptor.local_endpoint().port());
        tcp::socket socket = acceptor.accept();
        detail::OperationTimer timer(socket);
        timer.arm(monotonicNow());
        context.run_one_for(std::chrono::seconds(WaitSeconds));
        std::array<char, 1> byte {};
        boost::system::error_code result;
        bool completed = false;
        socket.async_read_some(asio::buffer(byte), [&](boost::system::error_code ec, std::size_t) {
            result = ec;
            completed = true;
        });
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        while (!completed && std::chrono::steady_clock::now() < limit)
            context.run_one_until(limit);
        CPPUNIT_ASSERT(completed);
        CPPUNIT_ASSERT(result == asio::error::operation_aborted);
        CPPUNIT_ASSERT(timer.disarm());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperationTimerTest);

} // namespace
