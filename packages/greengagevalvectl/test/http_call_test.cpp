#include <ggv/ctl/http_call.hpp>
#include <ggv/state/core/error.hpp>

#include <http/endless_answers.hpp>
#include <net/endless_sender.hpp>
#include <net/heap_bytes.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using namespace ggv::test;
using boost::asio::ip::tcp;

//! Twice the longest response that is accepted: a string is copied when it grows.
constexpr std::size_t MaxHeapGrowth = 256UL * 1024 * 1024;

//! Ends calls whose responses are too slow to reach the limit on their size.
constexpr Duration CallTimeout = std::chrono::seconds(5);

class HttpCallTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpCallTest);
    CPPUNIT_TEST(endlessResponseIsAnErrorOfBoundedMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    void endlessResponseIsAnErrorOfBoundedMemory()
    {
        std::string failed;
        for (const auto &it : endlessAnswers())
            failed += difference(it);
        CPPUNIT_ASSERT_EQUAL(std::string(), failed);
    }

private:
    // Returns an empty text if the call fails in time and takes no more memory than it may.
    static std::string difference(const EndlessAnswer &it)
    {
        boost::asio::io_context context;
        tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        const Endpoint peer { "127.0.0.1", acceptor.local_endpoint().port() };
        const std::size_t before = heapBytes();
        std::atomic<bool> hasFailed = false;
        std::atomic<bool> isFinished = false;
        std::thread caller([&] {
            hasFailed = fails(peer);
            isFinished = true;
        });
        std::size_t most = before;
        {
            EndlessSender sender(RawSocket(acceptor.accept()), it.start, it.pattern);
            while (!isFinished) {
                most = std::max(most, heapBytes());
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            caller.join();
        }
        if (hasFailed && most - before < MaxHeapGrowth)
            return {};
        return it.name + ": " + std::to_string((most - before) / 1024) + " KiB, "
            + (hasFailed ? "failed\n" : "accepted\n");
    }

    static bool fails(const Endpoint &peer)
    {
        HttpCall call;
        call.head.method = "GET";
        call.head.target = "/v1/register";
        try {
            (void)callHttp(peer, call, CallTimeout);
        } catch (const Error &) {
            return true;
        }
        return false;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpCallTest);

} // namespace
